#!/usr/bin/env bash
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. With TROUBLE=0, the same without the disruption. The
# program writes record.txt in this folder.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
[ -x "$program" ] && [ -x target/lentilrack-gateway ] || exit 2
timeout --kill-after=2 115 "$program" "$folder"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
