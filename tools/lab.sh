# Functions that start and stop a fleet of real processes on loopback. Sourced by the demo, the measurements and the
# process tests. Processes are ended by their process IDs only.
#
# Ports of a fleet with base port BASE:
#   BASE + i             instance i, for callers
#   BASE + 100 + 10 i    instance i, for peers; LAB_PEER_OFFSET replaces 100 in fleets of more than 19 instances
#   BASE + 300 + i       instance i, for operators
#   BASE + 400           platform
#   BASE + 500, 501      fabric, and its control port
#   BASE + 600           control port of the targets
#   from BASE + 700      targets

LAB_BINARY=${LAB_BINARY:-build/wigeoncart}
LAB_FLEET_KEY=Zf3LfJf+QNXEZFyAInvxAYjIUPnc1NnQ9j7C6JxA4Ik=
LAB_PIDS=()

lab_fail () {
  echo "lab: $*" >&2
  exit 1
}

# lab_spawn LOG COMMAND...: starts a process in the background, appends its output to LOG and sets LAB_PID.
lab_spawn () {
  local log=$1
  shift
  "$@" >>"$log" 2>&1 &
  LAB_PID=$!
  LAB_PIDS+=("$LAB_PID")
}

lab_stop_all () {
  local pid
  for pid in "${LAB_PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -TERM "$pid" 2>/dev/null
  done
  sleep 0.2
  for pid in "${LAB_PIDS[@]}"; do
    kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}

# lab_wait SECONDS WHAT COMMAND...: repeats a command until it succeeds; exits with an error after the time limit.
lab_wait () {
  local seconds=$1 what=$2 end
  shift 2
  end=$((SECONDS + seconds))
  until "$@" >/dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || lab_fail "timeout after $seconds s: $what"
    sleep 0.1
  done
}

lab_get () {
  curl -sSf --max-time 5 "http://127.0.0.1:$1$2"
}

# lab_send METHOD PORT PATH BODY
lab_send () {
  curl -sSf --max-time 5 -X "$1" --data-binary "$4" "http://127.0.0.1:$2$3"
}

# lab_json FILE: prints a sample file without its comments, which jq does not accept.
lab_json () {
  sed 's|^ *//.*||' "$1"
}

# lab_move_targets REGISTER BASE: prints the register with the ports of its targets moved to those of this fleet.
lab_move_targets () {
  lab_json "$1" | jq --argjson shift "$(($2 + 700 - 21000))" \
    '(.hosts[].targets[].address) |= (split(":") | "\(.[0]):\((.[1] | tonumber) + $shift)")'
}

# lab_write_settings DIRECTORY BASE NAME INDEX DOMAIN
lab_write_settings () {
  local directory=$1 base=$2 name=$3 index=$4 domain=$5
  cat >"$directory/$name-$index.json" <<SETTINGS
{
  "instance": "$name-$index",
  "domain": "$domain",
  "listen": "127.0.0.1:$((base + index))",
  "peer": "127.0.0.1:$((base + ${LAB_PEER_OFFSET:-100} + 10 * index))",
  "operators": "127.0.0.1:$((base + 300 + index))",
  "platforms": ["127.0.0.1:$((base + 400))"],
  "workers": 2,
  "fleet_key": "$LAB_FLEET_KEY",
  "ticket_life_ms": ${LAB_TICKET_LIFE_MS:-4000},
  "answer_life_ms": ${LAB_ANSWER_LIFE_MS:-4000},
  "fault_injection": true
}
SETTINGS
}

# lab_start_instance DIRECTORY BASE NAME INDEX: starts an instance and sets LAB_PID.
lab_start_instance () {
  lab_spawn "$1/$3-$4.log" "$LAB_BINARY" serve --settings "$1/$3-$4.json"
}

lab_is_ready () {
  lab_get $(($1 + 300 + $2)) /ready
}

# lab_start_fleet DIRECTORY BASE NAME REGISTER INSTANCES: starts platform, targets, fabric and instances, and waits
# until all instances are ready. LAB_INSTANCE_PIDS_<NAME>[i] is the process ID of instance i.
lab_start_fleet () {
  local directory=$1 base=$2 name=$3 register=$4 count=$5
  local domains domain_count index domain list="" addresses=""
  mkdir -p "$directory"
  lab_move_targets "$register" "$base" >"$directory/register.json"
  register=$directory/register.json
  mapfile -t domains < <(lab_json "$register" | jq -r '.domains[]')
  domain_count=${#domains[@]}
  declare -g -A "LAB_INSTANCE_PIDS_$name"
  declare -n pids="LAB_INSTANCE_PIDS_$name"

  for index in $(seq 1 "$count"); do
    domain=${domains[$(((index - 1) % domain_count))]}
    lab_write_settings "$directory" "$base" "$name" "$index" "$domain"
    list="$list${list:+,}{\"name\": \"$name-$index\", \"domain\": \"$domain\", \"workers\": 2, \"state\": \"live\", \
\"address\": \"127.0.0.1:$((base + 100 + 10 * index))\"}"
    addresses="$addresses${addresses:+,}127.0.0.1:$((base + index))"
  done
  echo "{\"instances\": [$list]}" >"$directory/instances.json"

  lab_spawn "$directory/platform.log" "$LAB_BINARY" emulate platform --listen "127.0.0.1:$((base + 400))" \
    --register "$register" --instances "$directory/instances.json"
  declare -g "LAB_PLATFORM_PID_$name=$LAB_PID"
  lab_spawn "$directory/targets.log" "$LAB_BINARY" emulate targets --register "$register" \
    --control "127.0.0.1:$((base + 600))" --seed 1 ${LAB_TARGET_OPTIONS:-}
  lab_spawn "$directory/fabric.log" "$LAB_BINARY" emulate fabric --listen "127.0.0.1:$((base + 500))" \
    --instances "$addresses" --control "127.0.0.1:$((base + 501))" --seed 1 ${LAB_FABRIC_OPTIONS:-}
  lab_wait 10 "the start of the platform" lab_get $((base + 400)) /v1/instances
  lab_wait 10 "the start of the targets" lab_get $((base + 600)) /control/stats
  for index in $(seq 1 "$count"); do
    lab_start_instance "$directory" "$base" "$name" "$index"
    pids[$index]=$LAB_PID
  done
  for index in $(seq 1 "$count"); do
    lab_wait 15 "readiness of $name-$index" lab_is_ready "$base" "$index"
  done
}

# lab_summary BASE REPORT RECORD: compares the results that callers received with the runs of the targets. Prints one
# line of JSON.
lab_summary () {
  local base=$1 report=$2 record=$3 runs stats
  runs=$(mktemp)
  stats=$(mktemp)
  lab_get $((base + 600)) /control/runs >"$runs"
  lab_get $((base + 600)) /control/stats >"$stats"
  jq -cn --slurpfile report "$report" --slurpfile orders "$record" --slurpfile runs "$runs" --slurpfile stats "$stats" '
    ($runs[0] | with_entries(select(.value.order))) as $ran
    | $report[0] as $calls
    | {
        sessions: $calls.sessions,
        requests: $calls.requests,
        requests_done: $calls.requests_done,
        orders: $calls.orders,
        orders_done: $calls.orders_done,
        orders_not_run: $calls.orders_not_run,
        orders_unknown: $calls.orders_unknown,
        large_answers: $calls.large_answers,
        stream_events: $calls.stream_events,
        doubled_runs: ([$ran[] | select(.started > 1)] | length),
        false_not_run: ([$orders[] | select(.result == "not_run" and ($ran[.request_id].started // 0) > 0)] | length),
        false_done: ([$orders[] | select(.result == "done" and ($ran[.request_id].started // 0) == 0)] | length),
        misrouted: ([$stats[0].targets[] | .misrouted_path + .misdirected_host] | add),
        work_after_leaving: ([$stats[0].targets[] | .new_work_after_leaving] | add),
        incomplete_answers: $calls.incomplete_answers,
        wrong_answers: $calls.wrong_answers,
        broken_flows: $calls.broken_flows,
        stream_gaps: $calls.stream_gaps,
        imbalance: ([$stats[0].targets[] | select(.service == "order-desk" or .service == "dispatch") | .completed]
                    | if add > 0 then ((max / (add / length)) * 100 | round / 100) else null end),
        latency_ms: ($calls.latency_ms.session | {p50, p99} | map_values(. * 10 | round / 10))
      }'
  rm -f "$runs" "$stats"
}

# lab_add: adds up the counts of the summaries on standard input; takes the maximum of imbalance and of *_max_ms.
lab_add () {
  jq -cs 'reduce .[] as $one ({}; . as $sum | reduce ($one | to_entries[] | select(.value | type == "number")) as $e
    ($sum; if $e.key == "imbalance" or ($e.key | endswith("_max_ms"))
           then .[$e.key] = ([.[$e.key] // 0, $e.value] | max)
           else .[$e.key] = (.[$e.key] // 0) + $e.value end))'
}

# lab_kept_promises: succeeds if the summary on standard input shows no violated guarantee.
lab_kept_promises () {
  jq -e '[.doubled_runs, .false_not_run, .false_done, .misrouted, .incomplete_answers, .wrong_answers, .broken_flows,
          .stream_gaps] | add == 0' >/dev/null
}
