#!/usr/bin/env bash
# Compares the packet path of a real instance with a bare relay on loopback: datagrams relayed to an owner in another
# failure domain, which the measuring program emulates, then flows opened and requests answered by the instance's own
# targets.
#
# Three cores are used: one for the process under test, one for the generator, and one for the sink, the platform and
# the targets. SPEED_CORES: the three cores (the last three of this process). SPEED_BASELINE: a second binary whose
# instance replaces the bare relay, to compare two versions in one run. SPEED_MEMBERS: number of instances listed in the
# owner's domain (1). SPEED_PROFILE: seconds for which the instance is profiled with perf. Further arguments are passed
# to `wigeoncart speed run`.
set -u
cd "$(dirname "$0")/.."
. tools/lab.sh
trap lab_stop_all EXIT

directory=${SPEED_DIRECTORY:-build/speed}
base=${SPEED_BASE_PORT:-29000}
cores=${SPEED_CORES:-$(taskset -cp $$ | sed 's/.*: //' | tr ',' '\n' |
  awk -F- '{ for (i = $1; i <= ($2 == "" ? $1 : $2); i++) print i }' | tail -n 3 | paste -sd,)}
IFS=, read -r test_core generator_core sink_core <<<"$cores"
[ -n "$sink_core" ] || lab_fail "three cores are needed"
rm -rf "$directory"
mkdir -p "$directory"

# The instance in domain here owns service desk; the sink, listed in domain there, owns service catalogue.
jq -n --argjson port "$((base + 700))" '
  {revision: 1, domains: ["here", "there", "before"],
   services: [
     {name: "desk", affinity: "request", default_deadline_ms: 2000, answer_max_bytes: 65536},
     {name: "catalogue", affinity: "session", default_deadline_ms: 2000, answer_max_bytes: 65536}],
   hosts: (
     [range(14) | {name: "desk-\(.)", domain: "here", targets: [
       {service: "desk", address: "127.0.0.1:\($port + .)", slots: 2, max_connections: 16, cold_start_ms: 0}]}] +
     [range(14) | {name: "catalogue-\(.)", domain: "there", targets: [
       {service: "catalogue", address: "127.0.0.1:\($port + 50 + .)", slots: 2, max_connections: 16,
        cold_start_ms: 0}]}]),
   customers: [{name: "dealer", worth: 2}],
   keys: [{epoch: 1, secret: "SW63tU1Uz7KkWdLvJkeBByKDa5L3md5wVLkdxb13VRk="}],
   rules: {separate: [["desk", "catalogue"]]}}' >"$directory/register.json"
# All members of domain there have the sink's address, so that the sink receives the relayed datagrams of any owner.
jq -n --argjson port "$((base + 100))" --argjson members "${SPEED_MEMBERS:-1}" --arg baseline "${SPEED_BASELINE:-}" '
  {instances: (
    [{name: "speed-1", domain: "here", workers: 1, state: "live", address: "127.0.0.1:\($port + 10)"}] +
    [range($members) | {name: "speed-sink-\(.)", domain: "there", workers: 1, state: "live",
      address: "127.0.0.1:\($port + 20)"}] +
    if $baseline == "" then [] else
      [{name: "speed-3", domain: "before", workers: 1, state: "live", address: "127.0.0.1:\($port + 30)"}] end)}' \
  >"$directory/instances.json"
lab_write_settings "$directory" "$base" speed 1 here
lab_write_settings "$directory" "$base" speed 3 before
sed -i 's/"workers": 2/"workers": 1/' "$directory"/speed-?.json

lab_spawn "$directory/platform.log" taskset -c "$sink_core" "$LAB_BINARY" emulate platform \
  --listen "127.0.0.1:$((base + 400))" --register "$directory/register.json" --instances "$directory/instances.json"
lab_spawn "$directory/targets.log" taskset -c "$sink_core" "$LAB_BINARY" emulate targets \
  --register "$directory/register.json" --domain here --control "127.0.0.1:$((base + 600))" --run-ms 0:fixed \
  --event-ms 0 --seed 1
lab_wait 10 "the start of the platform" lab_get $((base + 400)) /v1/instances
lab_wait 10 "the start of the targets" lab_get $((base + 600)) /control/stats
# taskset executes the program in its own process, so LAB_PID is the process ID of the program.
lab_spawn "$directory/speed-1.log" taskset -c "$test_core" "$LAB_BINARY" serve --settings "$directory/speed-1.json"
served=$LAB_PID
if [ -n "${SPEED_BASELINE:-}" ]; then
  echo "speed: an instance of $SPEED_BASELINE replaces the bare relay"
  bare_port=$((base + 3))
  lab_spawn "$directory/bare.log" taskset -c "$test_core" "$SPEED_BASELINE" serve --settings "$directory/speed-3.json"
  bare=$LAB_PID
  lab_wait 15 "readiness of the baseline instance" lab_is_ready "$base" 3
else
  bare_port=$((base + 800))
  lab_spawn "$directory/bare.log" taskset -c "$test_core" "$LAB_BINARY" speed bare --listen "127.0.0.1:$bare_port" \
    --to "127.0.0.1:$((base + 120))" --seconds 300
  bare=$LAB_PID
fi
lab_wait 15 "readiness of the instance" lab_is_ready "$base" 1
[ -n "${SPEED_PROFILE:-}" ] && lab_spawn "$directory/perf.log" perf record -g -o "$directory/perf.data" -p "$served" -- \
  sleep "${SPEED_PROFILE}"

"$LAB_BINARY" speed run --served "127.0.0.1:$((base + 1))" --served-process "$served" \
  --bare "127.0.0.1:$bare_port" --bare-process "$bare" --sink "127.0.0.1:$((base + 120))" \
  --register "$directory/register.json" --relay-service catalogue --relay-domain there \
  --own-service desk --own-domain here --generator-core "$generator_core" --sink-core "$sink_core" "$@"
status=$?
lab_get $((base + 301)) /metrics >"$directory/metrics.txt"
"$LAB_BINARY" speed memory
exit $status
