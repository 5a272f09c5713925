#!/usr/bin/env bash
# Checks that the stand-ins of the scripts can be started; they are Python and
# need no compilation. The packages come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
python3 -c '
import ast, pathlib
for path in pathlib.Path("review").rglob("*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
import review.lab.callers, review.lab.deployment, review.lab.ownership
'
echo "the stand-ins can be started"
