#!/bin/sh
# Builds what the scripts of the third review (11 to 15) start besides the project's programs.
# All stand-ins are Python files that need nothing but the standard library, so this compiles
# them to find faults. The programs themselves are built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
from pathlib import Path

for path in sorted([*Path('lib-3').glob('*.py'), *Path().glob('1[1-5]/*.py')]):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
    print('checked', path)
CHECK
