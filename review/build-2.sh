#!/usr/bin/env bash
# Builds what the scripts of cases 4 to 8 start besides the controllers: their stand-ins are Python files, which are
# only compiled here to find mistakes. The build of deploy/service.toml comes before this.
set -euo pipefail
cd "$(dirname "$0")"
python3 - rig-2/rig.py [4-8]/case.py <<'PY'
import ast, sys
for name in sys.argv[1:]:
    with open(name) as file:
        ast.parse(file.read(), name)
PY
