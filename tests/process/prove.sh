#!/usr/bin/env bash
# Checks the guarantees with real processes on loopback under failures: rolling replacement, leaving host, evacuated
# domain, killed and paused instance, network partition, platform outage and conflicting edits of operators. Each
# scenario runs sessions, orders, downloads and streams over a fabric that drops, duplicates and reorders packets. The
# last line of output is JSON; the exit status is 1 if a guarantee was violated.
set -u
cd "$(dirname "$0")/../.."
. tools/lab.sh
trap lab_stop_all EXIT

directory=${PROVE_DIRECTORY:-build/prove}
base=${PROVE_BASE_PORT:-24000}
instances=6
in_force_limit_ms=5000
operators=$((base + 300))
platform=$((base + 400))
targets=$((base + 600))
LAB_FABRIC_OPTIONS="--loss 0.01 --duplicate 0.01 --reorder 0.02"
LAB_TARGET_OPTIONS="--run-ms 5 --event-ms 200"
problems=0
in_force_max_ms=0
rm -rf "$directory"

now_ms () {
  date +%s%3N
}

problem () {
  echo "prove: BROKEN: $*"
  problems=$((problems + 1))
}

# edit_register FILTER [REVISION]: changes the register with a jq filter and publishes it, by default as the next
# revision.
edit_register () {
  revision=${2:-$((revision + 1))}
  jq "$1 | .revision = $revision" "$directory/register.json" >"$directory/register.next"
  mv "$directory/register.next" "$directory/register.json"
  lab_send PUT "$platform" /control/register "@$directory/register.json" >/dev/null || problem "the platform rejected revision $revision of the register"
}

# wait_in_force INDEX...: waits until the revision is in force on the instances and checks the time since edit_ms.
wait_in_force () {
  local index state took
  for index in "$@"; do
    while :; do
      state=$(lab_get $((operators + index)) /status | jq -r .config.revision)
      [ "$state" = "$revision" ] && break
      took=$(($(now_ms) - edit_ms))
      if [ "$took" -gt $((2 * in_force_limit_ms)) ]; then
        problem "revision $revision is not in force on instance $index after $took ms; it has revision $state"
        break
      fi
      sleep 0.05
    done
  done
  took=$(($(now_ms) - edit_ms))
  [ "$took" -gt "$in_force_max_ms" ] && in_force_max_ms=$took
  [ "$took" -le "$in_force_limit_ms" ] || problem "revision $revision took $took ms to be in force, limit $in_force_limit_ms ms"
}

start_load () {
  "$LAB_BINARY" call --fabric "127.0.0.1:$((base + 500))" --service order-desk --download-service pattern-delivery \
    --customer dealer-caxias,dealer-garibaldi,print-shop-bento --load 60 --orders 10 --downloads 2 --streams 6 \
    --sheet-bytes 500000 --interval-ms 300 --order-interval-ms 100 --seconds "$1" --deadline-ms 4000 \
    --record "$directory/orders.jsonl" >"$directory/report.json" 2>"$directory/call.log" &
  load_pid=$!
  sleep 1
}

# end_load SCENARIO [JQ-CONDITION]: waits for the callers, then checks the guarantees and the condition of the scenario.
end_load () {
  local summary="$directory/summary-$1.json"
  wait "$load_pid"
  lab_summary "$base" "$directory/report.json" "$directory/orders.jsonl" >"$summary"
  cp "$directory/orders.jsonl" "$directory/orders-$1.jsonl"
  echo "prove: $1: $(cat "$summary")"
  lab_kept_promises <"$summary" || problem "$1: the summary shows a violated guarantee"
  [ -z "${2:-}" ] || jq -e "$2" "$summary" >/dev/null || problem "$1: condition not met: $2"
}

stop_instance () {
  kill -TERM "${LAB_INSTANCE_PIDS_sinos[$1]}"
  wait "${LAB_INSTANCE_PIDS_sinos[$1]}"
  [ $? -eq 0 ] || problem "instance $1 did not exit with status 0 after SIGTERM"
}

start_instance () {
  lab_start_instance "$directory" "$base" sinos "$1"
  LAB_INSTANCE_PIDS_sinos[$1]=$LAB_PID
}

# kill_instance INDEX: waits until the process is gone, because its sockets are in use until then.
kill_instance () {
  kill -KILL "${LAB_INSTANCE_PIDS_sinos[$1]}"
  wait "${LAB_INSTANCE_PIDS_sinos[$1]}" 2>/dev/null
}

set_faults () {
  lab_send POST $((operators + $1)) /faults "$2" >/dev/null || problem "instance $1 rejected the injected faults"
}

rolling_replacement () {
  local index
  start_load 50
  for index in $(seq 1 $instances); do
    stop_instance "$index"
    start_instance "$index"
    lab_wait 15 "readiness of instance $index" lab_is_ready "$base" "$index"
  done
  kill -0 "$load_pid" 2>/dev/null || problem "the load ended before all instances were replaced"
  end_load rolling_replacement '.orders_unknown == 0'
}

leaving_host () {
  start_load 12
  edit_ms=$(now_ms)
  edit_register '.rules.leaving = ["bell-3", "pattern-2"]'
  lab_send POST "$targets" /control/target '{"host": "bell-3", "action": "leave"}' >/dev/null
  lab_send POST "$targets" /control/target '{"host": "pattern-2", "action": "leave"}' >/dev/null
  wait_in_force $(seq 1 $instances)
  sleep 3
  lab_send POST "$targets" /control/target '{"host": "bell-5", "action": "drain"}' >/dev/null
  end_load leaving_host '.orders_unknown == 0'
  lab_get "$targets" /control/stats | jq -e '[.targets[].last_work_after_leaving_s] | max <= 5' >/dev/null ||
    problem "a leaving host received new work after 5 s"
  lab_send POST "$targets" /control/target '{"host": "bell-5", "action": "undrain"}' >/dev/null
}

# A domain is evacuated and used again.
evacuated_domain () {
  local hosts host before
  hosts=$(jq -r '.hosts[] | select (.domain == "serra-2") | .name' "$directory/register.json")
  start_load 18
  edit_ms=$(now_ms)
  edit_register '.rules.evacuated = ["serra-2"]'
  for host in $hosts; do
    lab_send POST "$targets" /control/target "{\"host\": \"$host\", \"action\": \"leave\"}" >/dev/null
  done
  wait_in_force $(seq 1 $instances)
  sleep 7
  lab_get "$targets" /control/stats | jq -e '[.targets[].last_work_after_leaving_s] | max <= 5' >/dev/null ||
    problem "a target of an evacuated domain received new work after 5 s"
  for host in $hosts; do
    lab_send POST "$targets" /control/target "{\"host\": \"$host\", \"action\": \"undrain\"}" >/dev/null
  done
  before=$(count_work "$hosts")
  edit_ms=$(now_ms)
  edit_register 'del (.rules.evacuated)'
  wait_in_force $(seq 1 $instances)
  end_load evacuated_domain '.orders_unknown == 0'
  [ "$(count_work "$hosts")" -gt "$before" ] || problem "a domain received no work after its evacuation had ended"
}

# count_work HOSTS: requests that the targets of the hosts have received.
count_work () {
  lab_get "$targets" /control/stats |
    jq --arg hosts "$1" '[.targets[] | select (.host as $host | $hosts | split ("\n") | index ($host)) | .requests] | add'
}

killed_instance () {
  start_load 14
  kill_instance 2
  sleep 3
  start_instance 2
  lab_wait 15 "readiness of instance 2" lab_is_ready "$base" 2
  sleep 1
  kill_instance 5
  start_instance 5
  lab_wait 15 "readiness of instance 5" lab_is_ready "$base" 5
  end_load killed_instance
}

# While an instance is paused, a host moves to another service at the same address.
paused_instance () {
  start_load 14
  kill -STOP "${LAB_INSTANCE_PIDS_sinos[3]}"
  edit_ms=$(now_ms)
  edit_register '(.hosts[] | select(.name == "pattern-4") | .targets[0].service) = "order-desk"'
  wait_in_force 1 2 4 5 6
  sleep 1
  lab_send POST "$targets" /control/target '{"host": "pattern-4", "action": "move", "to": "order-desk"}' >/dev/null
  sleep 1
  kill -CONT "${LAB_INSTANCE_PIDS_sinos[3]}"
  edit_ms=$(now_ms)
  wait_in_force 3
  end_load paused_instance
}

# Domain serra-1 (instances 1 and 4) is partitioned from the other domains and the platform while an operator edits the
# register.
partition () {
  local index
  start_load 16
  for index in 1 4; do
    set_faults "$index" '{"block_domains": ["serra-2", "serra-3"], "block_platform": true}'
  done
  for index in 2 3 5 6; do
    set_faults "$index" '{"block_domains": ["serra-1"]}'
  done
  edit_ms=$(now_ms)
  edit_register '.rules.weights = {"bell-2": 50}'
  wait_in_force 2 3 5 6
  sleep 4
  for index in $(seq 1 $instances); do
    set_faults "$index" '{"block_domains": [], "block_platform": false}'
  done
  edit_ms=$(now_ms)
  wait_in_force $(seq 1 $instances)
  end_load partition
}

# Instances are replaced while the platform is down, and while it serves an old register.
platform_outage () {
  local index
  start_load 30
  lab_send POST "$platform" /control/mode '{"mode": "down"}' >/dev/null
  stop_instance 5
  start_instance 5
  lab_wait 15 "readiness of instance 5 without the platform" lab_is_ready "$base" 5
  lab_send POST "$platform" /control/mode '{"mode": "stale"}' >/dev/null
  stop_instance 6
  start_instance 6
  lab_wait 15 "readiness of instance 6 with a stale platform" lab_is_ready "$base" 6
  for index in $(seq 1 $instances); do
    [ "$(lab_get $((operators + index)) /status | jq -r .config.revision)" = "$revision" ] ||
      problem "instance $index does not have revision $revision after the platform served an older one"
  done
  lab_send POST "$platform" /control/mode '{"mode": "up"}' >/dev/null
  end_load platform_outage '.orders_unknown == 0'
}

racing_operators () {
  local index digests
  start_load 8
  edit_ms=$(now_ms)
  edit_register '.rules.weights = {"bell-1": 60}'
  edit_register '.rules.weights = {"bell-1": 70}' "$revision"
  edit_register '.rules.weights = {"bell-1": 80}' "$revision"
  lab_send PUT "$platform" /control/raw/head '{"revision": 9999, "parts": "damaged"}' >/dev/null
  sleep 1
  edit_ms=$(now_ms)
  edit_register '.rules.weights = {}'
  wait_in_force $(seq 1 $instances)
  digests=$(for index in $(seq 1 $instances); do
    lab_get $((operators + index)) /status | jq -r .config.digest
  done | sort -u | wc -l)
  [ "$digests" = 1 ] || problem "$digests different configurations are in force on the instances, expected 1"
  end_load racing_operators '.orders_unknown == 0'
}

lab_start_fleet "$directory" "$base" sinos samples/register-sinos.json "$instances"
revision=$(jq .revision "$directory/register.json")
for scenario in ${PROVE_SCENARIOS:-rolling_replacement leaving_host evacuated_domain killed_instance paused_instance \
  partition platform_outage racing_operators}; do
  "$scenario"
done
for index in $(seq 1 $instances); do
  kill -0 "${LAB_INSTANCE_PIDS_sinos[$index]}" 2>/dev/null || problem "the process of instance $index has exited"
done
cat "$directory"/summary-*.json | lab_add | jq -c --argjson ms "$in_force_max_ms" --argjson problems "$problems" \
  'del(.latency_ms) | . + {in_force_max_ms: $ms, problems: $problems}'
[ "$problems" -eq 0 ]
