#!/usr/bin/env bash
# Builds the project and demonstrates it on the stand-in platform: starts two
# entries and four workers as processes on loopback, then sends a service
# request and runs a batch job.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh

folder=$(mktemp -d)
ids=()
cleanup() {
  kill "${ids[@]}" 2>/dev/null || true
  wait
  rm -r "$folder"
}
trap cleanup EXIT
standin=build/tests/standin/eelgrasspost-standin
program=build/src/app/eelgrasspost

# start NAME COMMAND...: starts a process in the background; its output goes to
# $folder/NAME and its log to $folder/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$folder/$name" 2>"$folder/$name.log" &
  ids+=($!)
}
# address NAME KEY: waits until a process prints "KEY=IP:PORT", then prints the
# address.
address() {
  for _ in $(seq 200); do
    if grep -oqE "$2=[0-9.:]+" "$folder/$1"; then
      grep -oE "$2=[0-9.:]+" "$folder/$1" | head -n 1 | cut -d= -f2
      return
    fi
    sleep 0.05
  done
  echo "$1 did not print $2=IP:PORT; its log:" >&2
  cat "$folder/$1.log" >&2
  exit 1
}
# until_ok COMMAND...: retries a command until it succeeds, up to 200 times.
until_ok() {
  for _ in $(seq 200); do
    if "$@" >"$folder/out" 2>&1; then
      return
    fi
    sleep 0.1
  done
  cat "$folder/out" >&2
  exit 1
}

start platform "$standin" platform
platform=$(address platform platform)
start workers "$standin" worker --count 4
vms=""
endpoints=""
for n in 1 2 3 4; do
  worker=$(address workers "worker-$n")
  vms+="{\"id\":\"worker-$n\",\"kind\":\"worker\",\"failure_domain\":\"centre\",
    \"rack\":\"rack-1\",\"control\":\"$worker\",\"slots\":8,
    \"cpu_millis\":16000,\"memory_mb\":60000},"
  endpoints+="{\"worker\":\"worker-$n\",\"address\":\"$worker\"},"
done
for n in 1 2; do
  cat >"$folder/entry-$n.ini" <<INI
[entry]
id = entry-$n
region = guatemala
failure_domain = centre
[platform]
table = $platform
object_store = $platform
vm_list = $platform
INI
  "$program" check-settings --settings "$folder/entry-$n.ini"
  start "entry-$n" "$program" serve --settings "$folder/entry-$n.ini"
  control=$(address "entry-$n" control)
  vms+="{\"id\":\"entry-$n\",\"kind\":\"entry\",\"failure_domain\":\"centre\",
    \"control\":\"$control\"},"
done
curl -sS -X POST -d "{\"vms\":[${vms%,}]}" "http://$platform/vms/set" >/dev/null
entry=$(address entry-1 http)
other=$(address entry-2 http)

cat >"$folder/note.json" <<JSON
{"base": 0, "services": {"add": [
  {"name": "quotes", "idempotent": true, "endpoints": [${endpoints%,}]}]}}
JSON
echo "-- a release note adds the service quotes"
"$program" note submit "$folder/note.json" --entry "$entry" --operator demo
echo "-- a request through entry-2"
until_ok curl -sSf "http://$other/services/quotes/site?work_ms=20"
cat "$folder/out"
echo
echo '{"id": "calorific-1", "team": "lab", "cpu_millis": 1000,
  "memory_mb": 512, "command": "run_ms=300"}' >"$folder/job.json"
echo "-- a batch job"
"$program" job submit "$folder/job.json" --entry "$entry"
has_succeeded() {
  "$program" job show calorific-1 --entry "$other" | grep succeeded
}
until_ok has_succeeded
cat "$folder/out"
echo "-- status of entry-1"
"$program" status --entry "$entry"
echo "demo: done"
