#!/usr/bin/env bash
# Regenerates the committed protobuf code after a change of schema/*.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --cpp_out=. schema/*.proto
