#!/usr/bin/env bash
# Prepares the stand-ins that the scripts start. They are plain Python of the
# standard library, so that there is nothing to build but a check of the syntax.
set -eu
cd "$(dirname "$0")/.."
python3 - review/standins/*.py review/*/case.py <<'PYTHON'
import ast, pathlib, sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(encoding='utf-8'), name)
PYTHON
