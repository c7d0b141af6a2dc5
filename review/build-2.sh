#!/bin/bash
# Builds the stand-ins of cases 6 to 10. They use only the standard library. Run after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2021 -O -A dead_code -o "target/review-2/$name" "$source"
done
