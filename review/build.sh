#!/usr/bin/env bash
# Builds what the scripts start beside the project's own programs: the stand-ins are Python and only checked.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - standin/*.py */case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
CHECK
echo "stand-ins checked"
