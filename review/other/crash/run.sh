#!/usr/bin/env bash
# Plays the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/release/persimmongate-gateway ] || { echo "build the gateway first"; exit 2; }
export PYTHONDONTWRITEBYTECODE=1
timeout -k 2 116 python3 review/crash.py review/other/crash/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
