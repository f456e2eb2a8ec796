#!/usr/bin/env bash
# Runs a case: run-case.sh FOLDER NAME. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. With TROUBLE=0 the program does the same without the disruption.
folder=$(cd "$1" && pwd) || exit 2
name=$2
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-case
RELAY_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)
[ -x "$program" ] || { echo "no $program: run review/build-2.sh first" >&2; exit 2; }
[ -x "${RELAY_COMMAND%% *}" ] || { echo "no $RELAY_COMMAND: build the deploy file first" >&2; exit 2; }
CASE_DIR=$(mktemp -d) || exit 2
RECORD=$folder/record.txt
export CASE_DIR RECORD RELAY_COMMAND TROUBLE=${TROUBLE:-1}
case_pid=
stop() {
    [ -n "$case_pid" ] && kill -TERM "$case_pid" 2>/dev/null
    # The daemons that it started; it ends them itself unless it was ended.
    for file in "$CASE_DIR"/*.pid; do
        [ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
    done
    rm -rf "$CASE_DIR"
}
trap stop EXIT
trap 'exit 2' INT TERM
timeout -k 1 115 "$program" "$name" &
case_pid=$!
wait "$case_pid"
status=$?
case_pid=
[ "$status" -le 2 ] || status=2
exit "$status"
