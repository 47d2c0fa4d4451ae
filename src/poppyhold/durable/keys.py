"""The keys of the state service: every family of records has a prefix of its own.

The stored names are those of every version and never change; a new family gets a new prefix, which older
versions don't read.
"""

from __future__ import annotations

ROOT_PREFIX = "ph/"

# The leader's claim, on its lease; the prefix is what the election watches.
LEADER_PREFIX = ROOT_PREFIX + "l/"
LEADER_KEY = LEADER_PREFIX + "lead"
# The highest fencing token that was given out.
FENCING_TOKEN_KEY = ROOT_PREFIX + "b"
# What a leader changes to void its earlier transactions whose outcome is unknown.
WRITE_FENCE_KEY = ROOT_PREFIX + "c"

# The cloud's machine types. Those that don't fit into the first record follow below the prefix, which older
# versions don't read.
MACHINE_TYPES_KEY = ROOT_PREFIX + "t"
MORE_MACHINE_TYPES_PREFIX = ROOT_PREFIX + "t/"

# A submitted job until it is finalized, and its final state from then on; both by the job's name.
ACTIVE_JOB_PREFIX = ROOT_PREFIX + "a/"
FINAL_JOB_PREFIX = ROOT_PREFIX + "f/"
# That tasks of a job may start; by the job's name.
PLAN_PREFIX = ROOT_PREFIX + "p/"
# Completed tasks, by job and number of the range. Very large jobs have theirs in shorter ranges, for
# smaller values, below a prefix of their own, which older versions don't read.
COMPLETIONS_PREFIX = ROOT_PREFIX + "d/"
COMPLETION_RANGES_PREFIX = ROOT_PREFIX + "e/"
# Launch requests to the cloud, by request, and machines that may hold tasks, by machine.
LAUNCH_PREFIX = ROOT_PREFIX + "h/"
MACHINE_PREFIX = ROOT_PREFIX + "m/"
# Quota allocations of a cell among several; there are none without other cells.
QUOTA_PREFIX = ROOT_PREFIX + "q/"

# No key ever begins with this: a page of it tells the store's revision alone.
EMPTY_PREFIX = ROOT_PREFIX + "none/"
