"""The keys of the state service: every family of records has its own prefix.

Stored names never change between versions; a new family gets a new prefix, which older versions don't read.
"""

from __future__ import annotations

ROOT_PREFIX = "ph/"

# The leader's key, on its lease; the election watches the prefix.
LEADER_PREFIX = ROOT_PREFIX + "l/"
LEADER_KEY = LEADER_PREFIX + "lead"
# The highest fencing token that was issued.
FENCING_TOKEN_KEY = ROOT_PREFIX + "b"
# Changed by a leader so that its earlier transactions of unknown outcome can't be committed any more.
WRITE_FENCE_KEY = ROOT_PREFIX + "c"

# The cloud's machine types. Those that don't fit into the first record are below the prefix, which older
# versions don't read.
MACHINE_TYPES_KEY = ROOT_PREFIX + "t"
MORE_MACHINE_TYPES_PREFIX = ROOT_PREFIX + "t/"

# A submitted job until it is finalized, and its final state afterwards; both by job name.
ACTIVE_JOB_PREFIX = ROOT_PREFIX + "a/"
FINAL_JOB_PREFIX = ROOT_PREFIX + "f/"
# Plans, which allow tasks of a job to start; by job name.
PLAN_PREFIX = ROOT_PREFIX + "p/"
# Completed tasks, by job and number of the range. Very large jobs use shorter ranges, for smaller values,
# below their own prefix, which older versions don't read.
COMPLETIONS_PREFIX = ROOT_PREFIX + "d/"
COMPLETION_RANGES_PREFIX = ROOT_PREFIX + "e/"
# Launch requests to the cloud, by request, and machines that may hold tasks, by machine.
LAUNCH_PREFIX = ROOT_PREFIX + "h/"
MACHINE_PREFIX = ROOT_PREFIX + "m/"
# Quota allocations of a cell among several; a single cell has none.
QUOTA_PREFIX = ROOT_PREFIX + "q/"

# No key has this prefix: a page of it returns only the store's revision.
EMPTY_PREFIX = ROOT_PREFIX + "none/"
