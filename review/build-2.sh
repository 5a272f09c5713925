#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They
# need the standard library only, and are compiled to show that they can run.
set -euo pipefail
cd "$(dirname "$0")"
python3 - stands/*.py {6,7,8,9,10}/case.py <<'PROGRAM'
import pathlib
import sys

for name in sys.argv[1:]:
    if pathlib.Path(name).exists():
        compile(pathlib.Path(name).read_text(), name, "exec")
PROGRAM
echo "the stand-ins can run"
