#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
timeout --kill-after=5 115 python3 -B case.py
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
