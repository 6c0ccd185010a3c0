#!/usr/bin/env bash
# Runs the tests of the build made by setup.sh.
set -euo pipefail
cd "$(dirname "$0")"
cmake --build build
ctest --test-dir build --output-on-failure -j "$(nproc)" "$@"
