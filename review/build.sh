#!/usr/bin/env bash
# Checks that the stand-ins compile; they need nothing but Python's standard library.
set -eu
cd "$(dirname "$0")"
for file in harness.py [1-5]/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
