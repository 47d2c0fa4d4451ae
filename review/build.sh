#!/bin/sh
# Builds the stand-ins that the scripts start: the project's own and those of the review. Needs the build of the
# deploy file first. Everything goes to target/.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build of deploy/service.toml first" >&2; exit 1; }
python3 -X pycache_prefix="$PWD/target/pycache" -m compileall -q -f src/poppyhold/scale src/poppyhold/wire review
python3 -S -E -c 'import sys; sys.path[:0] = ["review", "src", "target/deps"]; sys.dont_write_bytecode = True; import harness.fleet'
