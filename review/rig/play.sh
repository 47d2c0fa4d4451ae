#!/usr/bin/env bash
# Runs the case.py beside the script that is given, and translates its result. Any other end of it means: not run.
set -u
folder=$(cd "$(dirname "$1")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
cd "$root" || exit 2
[ -f target/review-2/built ] || { echo "review/build-2.sh was not run" >&2; exit 2; }
python3 -X pycache_prefix="$root/target/review-2/pycache" "$folder/case.py" &
child=$!
# Whoever ends this script ends what the case started.
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
code=$?
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  code=$?
done
case $code in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
