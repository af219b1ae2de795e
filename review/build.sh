#!/usr/bin/env bash
# The stand-ins of the cases are review/rig/rig.py, for Python 3 and its standard library: checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
command -v python3 > /dev/null
python3 - rig/rig.py ./*/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
