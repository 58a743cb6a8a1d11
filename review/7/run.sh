#!/usr/bin/env bash
# Runs the case; record.txt beside this file tells what was sent, answered and
# run. Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
if [ ! -x target/review-2/large-job ] || [ ! -x target/src/app/eelgrasspost ]; then
  echo "build the deploy file and run review/build-2.sh first" >&2
  exit 2
fi
exec timeout -k 2 118 target/review-2/large-job "$folder/record.txt"
