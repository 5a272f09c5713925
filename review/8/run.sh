#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
record=review/8/record.txt
rm -f "$record"
python3 review/8/case.py
status=$?
# An error of the interpreter also ends with 1; the record tells them apart.
if [ "$status" -eq 1 ] && grep -q ' rule broken$' "$record"; then exit 1; fi
if [ "$status" -eq 0 ] && grep -q ' rule held$' "$record"; then exit 0; fi
exit 2
