#!/usr/bin/env bash
# A zone is evacuated, two of its three instances are restarted as planned, two at a time, and the zone is taken back when
# they have stopped. Its hosts are cold then. Counts the new flows that each of them gets in a second.
#
# TROUBLE=0: the same without the restart.
# Exit: 1 the rule is broken, 0 it held, 2 the case could not run.
set -u
cd "$(dirname "$0")/../.."
trouble=${TROUBLE:-1}
rate=${RATE:-300}
case_dir=review/12
program=target/wigeoncart
world=build/review-3/world
net=127.$((RANDOM % 100 + 60)).$((RANDOM % 200 + 20))
port=$((RANDOM % 2000 + 21000))
temp=$(mktemp -d) || exit 2
pids=()
world_pid=

finish () {
  for pid in "${pids[@]:-}" "$world_pid"; do
    [ -n "$pid" ] && kill -KILL "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$temp"
}
trap finish EXIT

fail () {
  echo "cannot run: $*" >>$case_dir/record.txt
  exit 2
}

start () {
  "$program" serve --settings "$temp/settings-$1.json" >>"$temp/log-$1" 2>&1 &
  pids[$1]=$!
}

[ -x "$program" ] && [ -x "$world" ] || fail "the program or the stand-in was not built"
mkfifo "$temp/commands"
"$world" "$net" "$port" 8 "$rate" $case_dir/record.txt <"$temp/commands" &
world_pid=$!
exec 8>"$temp/commands"
sleep 0.3
kill -0 "$world_pid" 2>/dev/null || fail "the stand-in did not start"
for i in 0 1 2 3 4 5 6 7; do
  cat >"$temp/settings-$i.json" <<EOF
{
  "data_path": "packets",
  "instance": "frontend-$i",
  "domain": "zone-$((i % 3))",
  "packets": "$net.$((i + 10)):$port",
  "ready": "$net.$((i + 10)):$((port + 1))",
  "peers": "$net.$((i + 10)):$((port + 2))",
  "operators": "$net.$((i + 10)):$((port + 3))",
  "store": "$net.1:$port",
  "seeds": ["$net.10:$((port + 2))", "$net.11:$((port + 2))", "$net.12:$((port + 2))"],
  "flow_life_s": 60,
  "stop_limit_s": 6,
  "warm_up_overrun": 1.5,
  "warm_up_slack": 5,
  "contracts": ["base", "drain", "config", "cost", "recover", "health", "flows", "places", "platform"]
}
EOF
  start "$i"
done
sleep 16
echo "evacuate 0" >&8
sleep 6
if [ "$trouble" != 0 ]; then
  echo "mark instances 0 and 3 are stopped as planned" >&8
  kill -TERM "${pids[0]}" "${pids[3]}"
  wait "${pids[0]}" "${pids[3]}"
fi
echo "take-back 0" >&8
if [ "$trouble" != 0 ]; then
  echo "mark instances 0 and 3 are started" >&8
  start 0
  start 3
fi
sleep 6
for i in 0 1 2 3 4 5 6 7; do
  kill -0 "${pids[$i]}" 2>/dev/null || fail "instance $i does not run at the end"
done
echo "end" >&8
wait "$world_pid"
status=$?
world_pid=
exit $status
