#!/bin/sh
# The stand-ins are Python without dependencies: nothing to build but a check that they compile.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
from pathlib import Path

for path in Path("review").rglob("*.py"):
    compile(path.read_bytes(), str(path), "exec")
CHECK
