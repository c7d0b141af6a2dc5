#!/usr/bin/env bash
# Runs the case whose folder is given: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here="$(cd "$1" && pwd)"
ROOT="$(cd "$here/../.." && pwd)"
RUN_COMMAND="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")"
RECORD="$here/record.txt"
PIDS="$(mktemp)"
export ROOT RUN_COMMAND RECORD PIDS
binary="$ROOT/review/bin/case$(basename "$here")"
if [ -z "$RUN_COMMAND" ] || [ ! -x "$binary" ] || [ ! -x "$ROOT/target/release/walnuthatch" ]; then
    echo "could not run: build first (the build of the deploy file, then review/build.sh)"
    rm -f "$PIDS"
    exit 2
fi
timeout -k 2 115 "$binary"
code=$?
# The stand-in ends the controllers that it started. Should it have been ended itself, they are ended here.
while read -r pid; do
    if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = walnuthatch ]; then
        kill -9 "$pid" 2>/dev/null
    fi
done <"$PIDS"
rm -f "$PIDS"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
