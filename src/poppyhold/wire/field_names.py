"""Field names of the protocols and stored records, by their names in this program.

Message and record types use this program's names for attributes, and set the name that is sent or stored with
``msgspec.field(name=...)``. This is the only module that maps one to the other. Names that are the same in
both, such as ``endpoint``, are not listed.
"""

from __future__ import annotations

# -- jobs, in submissions and in stored records
NAME = "nameId"
JOB_CLASS = "lot"
TEAM = "crew"
PRIORITY = "rank"
TASKS = "chores"
MEMORY_GB = "memGb"
IMAGE = "bundle"
IMAGE_GB = "sizeGb"
ONE_ZONE = "samePlace"
SPREAD = "apart"
ESTIMATE_S = "guessS"
CHECKPOINT_S = "bookmarkS"
SAVE_S = "stashS"
DEADLINE_S = "dueS"

# -- machines
MACHINE = "box"
MACHINES = "boxes"
MACHINE_TYPE = "build"
MACHINE_TYPES = "builds"
ZONE = "paddock"
ZONES = "paddocks"
SPOT = "loaners"
CACHE_GB = "localGb"
FETCH_GB_PER_S = "pullGbPerS"
PRICE = "rate"
SPOT_PRICE = "marketPrice"
BOOT_S = "startupS"
AGE_S = "heldS"
LAUNCH_REQUEST_ID = "hire"

# -- workers
CONTROLLER = "foreman"
INCARNATION = "shift"
SEQUENCE = "tally"
FENCING_TOKEN = "baton"
PREEMPTION_NOTICE_S = "recallS"
TASK = "chore"
ATTEMPT = "try"
COMMANDS = "orders"
COMMAND_KIND = "verb"
GRACE_S = "leewayS"

# -- the state service
LEASE_ID = "permit"
LEASE_MS = "lifeMs"
REVISION = "ledger"
KEY_REVISION = "stamp"
PUT_KEY = "set"
DELETED_KEY = "remove"
