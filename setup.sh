#!/usr/bin/env bash
# Installs the Debian packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")"
packages="build-essential cmake ninja-build ccache pkg-config clang-format clang-tidy curl python3
  libboost-dev libboost-log-dev libboost-thread-dev libnng-dev libcli11-dev libprotobuf-dev
  protobuf-compiler nlohmann-json3-dev librapidcheck-dev libgtest-dev libbenchmark-dev
  libxxhash-dev libssl-dev"
missing=$(for p in $packages; do dpkg -s "$p" >/dev/null 2>&1 || echo "$p"; done)
if [ -n "$missing" ]; then
  sudo=""
  [ "$(id -u)" -eq 0 ] || sudo=sudo
  $sudo apt-get update -qq
  # shellcheck disable=SC2086
  DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq $missing
fi
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
cmake --build build
