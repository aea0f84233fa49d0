#!/usr/bin/env bash
# Measures the control plane of real `serve` processes on loopback, idle and while the register is edited, at several
# sizes of a failure domain. Prints one line of JSON per size: memory and CPU time per process, peer bytes per second
# and process without TCP/IP headers, platform reads of all processes, and the maximum time until an edit is in force on
# all.
#
# SLOPES_SIZES: numbers of instances (8 24 60). SLOPES_HOSTS: hosts in the register (100). SLOPES_EDITS: edits per run
# (4), one every SLOPES_EDIT_S seconds (5). SLOPES_IDLE_S: seconds without edits (10).
set -u
cd "$(dirname "$0")/.."
. tools/lab.sh
trap lab_stop_all EXIT

sizes=${SLOPES_SIZES:-8 24 60}
hosts=${SLOPES_HOSTS:-100}
edits=${SLOPES_EDITS:-4}
edit_s=${SLOPES_EDIT_S:-5}
idle_s=${SLOPES_IDLE_S:-10}
# Below the kernel's range of ephemeral ports.
base=${SLOPES_BASE_PORT:-30000}
directory=${SLOPES_DIRECTORY:-build/slopes-processes}
# With the default offset, the peer ports of 60 instances would overlap the operators' ports.
LAB_PEER_OFFSET=1000

now_ms () {
  date +%s%3N
}

# write_register REVISION: writes the register; the number of slots of one host depends on the revision.
write_register () {
  jq -cn --argjson hosts "$hosts" --argjson revision "$1" '
    {revision: $revision, domains: ["d1"],
     services: [range($hosts / 2 | ceil) | {name: "service-\(.)", default_deadline_ms: 2000}],
     hosts: [range($hosts) | {name: "host-\(.)", domain: "d1", targets: [
       {service: "service-\(. / 2 | floor)", address: "127.\(. / 65536 | floor).\(. / 256 % 256 | floor).\(. % 256):9",
        slots: (if . == ($revision % $hosts) then 3 else 2 end), max_connections: 16, cold_start_ms: 0}]}],
     customers: [{name: "dealer-1", worth: 5}],
     keys: [{epoch: 1, secret: "SW63tU1Uz7KkWdLvJkeBByKDa5L3md5wVLkdxb13VRk="}]}' >"$directory/register.json"
}

# all_urls PATH: prints the URL of PATH on the operators' port of each instance.
all_urls () {
  local index
  for index in $(seq 1 "$count"); do
    echo "http://127.0.0.1:$((base + 300 + index))$1"
  done
}

# read_counts: prints the time in seconds, then bytes sent, bytes received, platform reads, CPU clock ticks and resident
# memory in kB, each summed over all instances.
read_counts () {
  local at
  at=$(now_ms)
  # shellcheck disable=SC2046
  curl -sS --max-time 20 $(all_urls /metrics) | awk -v at="$at" '
    /^wigeoncart_peer_bytes_sent_total / { sent += $2 }
    /^wigeoncart_peer_bytes_received_total / { received += $2 }
    /^wigeoncart_platform_reads_total / { reads += $2 }
    END { printf "%.3f %d %d %d ", at / 1000, sent, received, reads }'
  cat $(printf '/proc/%s/stat ' "${pids[@]}") | awk '{ sub (/.*\) /, ""); ticks += $12 + $13 } END { printf "%d ", ticks }'
  cat $(printf '/proc/%s/status ' "${pids[@]}") | awk '/^VmRSS:/ { kb += $2 } END { printf "%d\n", kb }'
}

all_have_revision () {
  # shellcheck disable=SC2046
  [ "$(curl -sS --max-time 20 $(all_urls /status) | jq -r .config.revision | sort -u)" = "$1" ]
}

# rates COUNTS COUNTS: prints the rates between two outputs of read_counts as JSON.
rates () {
  echo "$1 $2" | awk -v n="$count" -v hz="$(getconf CLK_TCK)" '{
    s = $7 - $1
    printf "{\"seconds\": %.1f, \"sent\": %.1f, \"received\": %.1f, \"reads_per_s\": %.2f, \"cpu_percent\": %.3f, \"rss_mb\": %.2f}",
      s, ($8 - $2) / n / s, ($9 - $3) / n / s, ($10 - $4) / s, ($11 - $5) / hz / n / s * 100, $12 / n / 1024 }'
}

measure () {
  local index list="" before after idle changes edit edit_ms took longest=0
  count=$1
  pids=()
  LAB_PIDS=()
  rm -rf "$directory"
  mkdir -p "$directory"
  write_register 1
  for index in $(seq 1 "$count"); do
    lab_write_settings "$directory" "$base" slopes "$index" d1
    sed -i 's/"workers": 2/"workers": 1/' "$directory/slopes-$index.json"
    list="$list${list:+,}{\"name\": \"slopes-$index\", \"domain\": \"d1\", \"workers\": 1, \"state\": \"live\", \
\"address\": \"127.0.0.1:$((base + LAB_PEER_OFFSET + 10 * index))\"}"
  done
  echo "{\"instances\": [$list]}" >"$directory/instances.json"
  lab_spawn "$directory/platform.log" "$LAB_BINARY" emulate platform --listen "127.0.0.1:$((base + 400))" \
    --register "$directory/register.json" --instances "$directory/instances.json"
  lab_wait 10 "the start of the platform" lab_get $((base + 400)) /v1/instances
  for index in $(seq 1 "$count"); do
    lab_start_instance "$directory" "$base" slopes "$index"
    pids+=("$LAB_PID")
  done
  for index in $(seq 1 "$count"); do
    lab_wait 30 "readiness of instance $index" lab_is_ready "$base" "$index"
  done
  sleep 5

  before=$(read_counts)
  sleep "$idle_s"
  after=$(read_counts)
  idle=$(rates "$before" "$after")

  before=$after
  for edit in $(seq 1 "$edits"); do
    write_register $((edit + 1))
    lab_send PUT $((base + 400)) /control/register "@$directory/register.json" >/dev/null
    edit_ms=$(now_ms)
    until all_have_revision $((edit + 1)); do
      [ $(($(now_ms) - edit_ms)) -lt 20000 ] || break
    done
    took=$(($(now_ms) - edit_ms))
    [ "$took" -gt "$longest" ] && longest=$took
    [ "$took" -lt $((1000 * edit_s)) ] && sleep "$(awk -v ms="$((1000 * edit_s - took))" 'BEGIN { print ms / 1000 }')"
  done
  after=$(read_counts)
  changes=$(rates "$before" "$after")
  echo "{\"instances\": $count, \"hosts\": $hosts, \"idle\": $idle, \"edits\": $edits, \"changes\": $changes," \
    "\"in_force_max_ms\": $longest}"
  lab_stop_all
}

for size in $sizes; do
  measure "$size"
done
