#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs without packages,
# so that there is nothing to compile. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import glob
import tomllib

for name in sorted(glob.glob("**/*.py", recursive=True)):
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
with open("../deploy/system.toml", "rb") as file:
    tomllib.load(file)
PY
[ -x ../target/fuchsiadrum-gateway ] || {
  echo "target/fuchsiadrum-gateway is missing: run the deploy file's build first"
  exit 1
}
echo "review: the stand-ins are ready"
