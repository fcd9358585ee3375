#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD/target/review-2" timeout -s INT -k 5 112 python3 review/9/case.py
code=$?
[ "$code" -gt 2 ] && code=2
exit "$code"
