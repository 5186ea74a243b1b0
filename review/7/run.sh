#!/bin/bash
# Plays the case; ends all processes that it started. TROUBLE=0 leaves the disruption out.
set -m
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/standin-2
if [ ! -x "$program" ] || [ ! -x target/release/medlarfall-relay ]; then
    echo "build first: the build of the deploy file, then review/build-2.sh" >&2
    exit 2
fi
timeout --signal=KILL 115 "$program" readers-cut "$folder" &
group=$!
trap 'kill -KILL -- -"$group" 2>/dev/null' EXIT
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
