#!/bin/sh
# All stand-ins of the cases 6 to 10 are in review/harness_2.py and the cases themselves.
# They use the standard library of python3 only, so that there is nothing to build.
set -e
cd "$(dirname "$0")/.."
python3 -c "import ast, pathlib
for path in [pathlib.Path('review/harness_2.py'), *pathlib.Path('review').glob('*/case.py')]:
    ast.parse(path.read_text())"
