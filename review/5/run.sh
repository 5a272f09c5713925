#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 "review/$(basename "$(dirname "$(realpath "$0")")")/case.py"
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
