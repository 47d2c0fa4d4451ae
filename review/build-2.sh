#!/usr/bin/env bash
# Builds what the cases 4 to 8 start, after the build of the deploy file: the helpers of review/rig, the cases, and the
# project's own stand-ins and codec that they use. Needs no network; everything goes under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/service.toml first" >&2; exit 2; }
cache="$PWD/target/review-2/pycache"
mkdir -p "$cache"
python3 -X pycache_prefix="$cache" -m compileall -q -j 1 review/rig review/[4-8] \
  src/poppyhold/scale src/poppyhold/wire src/poppyhold/concurrency
touch target/review-2/built
