#!/usr/bin/env bash
# Installs missing Debian packages and builds everything in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

install_packages() {
  local missing
  missing=$(xargs -a scripts/packages.txt dpkg-query -W -f '${Package} ${db:Status-Status}\n' 2>&1 |
    grep -v ' installed$' || true)
  if [ -n "$missing" ]; then
    apt-get update -q
    xargs -a scripts/packages.txt env DEBIAN_FRONTEND=noninteractive apt-get install -y -q
  fi
}

install_packages
cmake -G Ninja -B build -S . >/dev/null
cmake --build build -j "${JOBS:-$(nproc)}"
