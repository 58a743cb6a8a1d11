#!/usr/bin/env bash
# Builds the given tests with sanitizers and runs them.
# usage: sanitize.sh address,undefined|thread TEST...
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizers=$1
shift
folder=build-${sanitizers%%,*}
cmake -G Ninja -B "$folder" -S . -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS_DEBUG="-O1 -g1" \
  -DEELGRASSPOST_SANITIZE="$sanitizers" >/dev/null
targets=()
for it in "$@"; do
  targets+=("${it}_tests")
done
cmake --build "$folder" -j "${JOBS:-$(nproc)}" --target "${targets[@]}" |
  tail -n 1
pattern=$(IFS='|'; echo "$*")
ctest --test-dir "$folder" -R "^($pattern)$" -j 4 --output-on-failure
