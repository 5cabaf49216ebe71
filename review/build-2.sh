#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10.
# They are Python programs of the standard library; this only checks them.
cd "$(dirname "$0")/.." || exit 2
exec python3 -B - <<'PY'
from pathlib import Path

for folder in ('lib-2', '6', '7', '8', '9', '10'):
    for path in sorted(Path('review', folder).glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
PY
