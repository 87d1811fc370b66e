#!/usr/bin/env bash
# The stand-ins use the standard library of Python 3.11 only; this checks that
# they compile. Nothing is installed.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11)
for path in sorted(pathlib.Path('.').glob('**/*.py')):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
PY
