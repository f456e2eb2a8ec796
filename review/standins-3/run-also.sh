#!/usr/bin/env bash
# Runs a fault that is not among the five cases: run-also.sh NAME, with `grace` or `unread`. Writes to
# record.txt beside it. Exits as the cases do, and heeds TROUBLE=0 as well.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/also-$1
for file in target/release/gwi-relay "$program"; do
    if [ ! -x "$file" ]; then
        echo "$file is not built" >&2
        exit 2
    fi
done
TROUBLE=${TROUBLE:-1} "$program"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
