#!/usr/bin/env bash
# Serves the two sample deployments with real processes on loopback. The last line of output is JSON; the exit status is
# 1 if a guarantee was violated.
set -u
cd "$(dirname "$0")/.."
. tools/lab.sh
trap lab_stop_all EXIT

directory=${DEMO_DIRECTORY:-build/demo}
seconds=${DEMO_SECONDS:-6}
base=${DEMO_BASE_PORT:-22000}
rm -rf "$directory"

# run_load NAME BASE SERVICE DOWNLOAD-SERVICE CUSTOMERS
run_load () {
  "$LAB_BINARY" call --fabric "127.0.0.1:$(($2 + 500))" --service "$3" --download-service "$4" --customer "$5" \
    --load 60 --orders 6 --downloads 2 --streams 6 --sheet-bytes 2000000 --interval-ms 500 --order-interval-ms 300 \
    --seconds "$seconds" --record "$directory/$1/orders.jsonl" >"$directory/$1/report.json" 2>"$directory/$1/call.log"
}

echo "demo: starting 4 instances for each of the two deployments"
lab_start_fleet "$directory/sinos" "$base" sinos samples/register-sinos.json 4
lab_start_fleet "$directory/kavango" "$((base + 1000))" kavango samples/register-kavango.json 4
echo "demo: serving sessions, orders, pattern sheets and event streams for $seconds s"
run_load sinos "$base" order-desk pattern-delivery dealer-caxias,dealer-garibaldi,print-shop-bento &
first=$!
run_load kavango "$((base + 1000))" dispatch cut-patterns crew-urgent,fitter-north &
second=$!
wait "$first" "$second"
for name in sinos kavango; do
  [ -s "$directory/$name/report.json" ] || lab_fail "the callers of $name failed: $(tail -n 3 "$directory/$name/call.log")"
  [ "$name" = sinos ] && port=$base || port=$((base + 1000))
  lab_summary "$port" "$directory/$name/report.json" "$directory/$name/orders.jsonl" >"$directory/$name/summary.json"
  echo "demo: $name: $(cat "$directory/$name/summary.json")"
done
lab_stop_all
LAB_PIDS=()
cat "$directory"/*/summary.json | lab_add >"$directory/summary.json"
cat "$directory/summary.json"
lab_kept_promises <"$directory/summary.json"
