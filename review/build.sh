#!/bin/sh
# Builds the stand-ins of the scripts. They are Python programs (review/common
# and tests/standin.py), so only their syntax is checked here.
set -e
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import ast
import glob

for name in (["tests/standin.py", "tests/proxyrig.py"] +
             sorted(glob.glob("review/common/*.py")) +
             sorted(glob.glob("review/[0-9]*/*.py"))):
    with open(name) as file:
        ast.parse(file.read(), name)
EOF
