#!/usr/bin/env bash
# Shows the case; exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/8/case.py
