#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review in target/review-2/. Run it
# after the build of the deploy file, from any folder.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for it in review/standins-2/*.cpp; do
  name=$(basename "$it" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 "$it" \
    -o "target/review-2/$name" -lboost_json -lpthread
done
