#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
export ROOT="$(cd "$here/../.." && pwd)"
export RECORD="$here/record.txt"
RUN_COMMAND="$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")"
export RUN_COMMAND
binary="$here/../bin/case$(basename "$here")"
if [ -z "$RUN_COMMAND" ] || [ ! -x "$binary" ] || [ ! -x "$ROOT/target/release/walnuthatch" ]; then
    echo "could not run: build first (the deploy file's build, then review/build.sh)"
    exit 2
fi
timeout -k 2 118 "$binary"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
