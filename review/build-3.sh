#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11, 12, 14 and 15 start. They are
# Python programs that use the standard library alone: this checks that the
# interpreter takes them.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/*.py 11/case.py 12/case.py 14/case.py 15/case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
