#!/bin/bash
# Runs one case: run-case.sh CASE-FOLDER STAND-IN [ARGUMENT...]. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
case=$1 standin=$2
shift 2
program=target/review-2/$standin
[ -x "$program" ] || { echo "could not run: $program is missing (review/build-2.sh builds it)"; exit 2; }
[ -x target/release/walnuthatch ] || { echo "could not run: the program is not built"; exit 2; }
folder=$(mktemp -d) || exit 2
export ROOT=$PWD FOLDER=$folder RECORD=$PWD/$case/record.txt
"$program" "$@" &
child=$!
# Ends the stand-in and the controllers that it started, by their ids.
finish() {
    kill "$child" 2>/dev/null
    [ -f "$folder/pids" ] && while read -r id; do kill -KILL "$id" 2>/dev/null; done <"$folder/pids"
}
trap 'finish; rm -rf "$folder"; exit 2' INT TERM
for ((n = 0; n < 1150; n++)); do
    kill -0 "$child" 2>/dev/null || break
    sleep 0.1
done
((n >= 1150)) && finish
wait "$child"
status=$?
finish
if [ -s "$folder/controller.err" ]; then
    { echo; echo "The controller's log:"; cat "$folder/controller.err"; } >>"$RECORD"
fi
rm -rf "$folder"
case $status in 0 | 1) exit "$status" ;; *) exit 2 ;; esac
