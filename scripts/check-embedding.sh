#!/usr/bin/env bash
# Installs the libraries into a temporary prefix, builds the embedding example
# against them and runs it.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

cmake --install build --prefix "$folder/prefix" >/dev/null
cmake -G Ninja -S examples/embedding -B "$folder/build" \
  -DCMAKE_PREFIX_PATH="$folder/prefix" -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
  >/dev/null
cmake --build "$folder/build"
timeout 60 "$folder/build/embedding"
