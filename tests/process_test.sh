#!/usr/bin/env bash
# The daemon under failures, with real processes: store outage, paused process, kill with
# lost store answers and planned stop under load; then handover from the old setup and
# invalid requests. Checks the upstreams' journals and the callers' outcomes. Waits for
# conditions and asserts no times.
#
#   tests/process_test.sh BUILD_DIR
. "$(dirname "$0")/checks.sh" "$1"
field() { sed -n "s/^$1 //p" "$fleet_dir/load-$2"; }
load() { # NAME SECONDS [ARGS]
  local name=$1 seconds=$2
  shift 2
  "$build_dir/bench_load" --ports "$entries" --rate 300 --seconds "$seconds" --keys 64 \
    --connections 200 --orders 0.3 "$@" > "$fleet_dir/load-$name"
}
fault() {
  check "the store accepts the fault $1" \
    grep -q ok <(http POST "29000/v1/faults?mode=$1&count=${2:-0}&ms=${3:-0}")
}
status_code() { curl -s -o "$fleet_dir/body" -w '%{http_code}' -m 5 "$@"; }

fleet_start "$build_dir" 29000 examples/svecnik.toml "stand-status ordering rounds" \
  "osrednja:lj-vic osrednja:lj-moste stajerska:mb-tabor stajerska:ce-hudinja osrednja:lj-vic stajerska:mb-tabor" 2> /dev/null
until http PUT "29011/v1/config?expected=0" examples/svecnik.toml | grep -q accepted; do sleep 0.2; done
check "all shards get owners" fleet_wait 128
entries=29010,29020 # nodes without faults

load whole 3
check "every request is answered without faults" \
  [ "$(field answered whole)" = "$(field sent whole)" ]
check "no answer belongs to another request" [ "$(field wrong whole)" = 0 ]

fault down
load outage 10
fault none
check "every request is answered during a store outage" \
  [ "$(field answered outage)" = "$(field sent outage)" ]

load freeze 9 & load_pid=$!
kill -STOP "${node_pid[3]}"
sleep 5
kill -CONT "${node_pid[3]}"
wait "$load_pid"
check "no order is lost when an owner is paused and resumes" [ "$(field orders_lost freeze)" = 0 ]
check "all shards have owners after the pause" fleet_wait 128

load lost 6 & load_pid=$!
fault lose_answers 20
kill -KILL "${node_pid[4]}"
wait "$load_pid"
fault none
check "all shards have owners after a kill with lost answers" fleet_wait 128

load stop 6 & load_pid=$!
kill -TERM "${node_pid[5]}"
wait "${node_pid[5]}"
check "a planned stop ends with exit code 0" [ $? = 0 ]
wait "$load_pid"
check "every request is answered during a planned stop" [ "$(field answered stop)" = "$(field sent stop)" ]
check "all shards have owners after the planned stop" fleet_wait 128

fault odd
restart_node() { # NUMBER
  kill -TERM "${node_pid[$1]}"
  wait "${node_pid[$1]}"
  fleet_start_node "$1"
}
load odd 6 & load_pid=$!
restart_node 2 # a node that starts lists the odd entries; the others see its change
wait "$load_pid"
check "all shards have owners while other programs write odd entries" fleet_wait 128
check "every request is answered meanwhile" [ "$(field answered odd)" = "$(field sent odd)" ]
check "no node ended" kill -0 "${node_pid[0]}" "${node_pid[1]}" "${node_pid[2]}" "${node_pid[3]}" "${node_pid[4]}"
check "skipped entries are counted" grep -q "^buckthornusher_store_entries_skipped_total [1-9]" \
  <(curl -s -m 5 127.0.0.1:29011/metrics)
fault none

"$build_dir/standin_upstream" --port 20999 --service old --unfenced & upstream_pid[old]=$!
answer_of() { curl -s -m 5 --retry 3 -X POST -d x "127.0.0.1:29010/orders/$1"; }
check "a department at stage old is served by the old setup" \
  grep -q "^old /orders/parish-1" <(answer_of parish-1)
check "other keys are served by the new owner" grep -q "^ordering /orders/77" <(answer_of 77)
awk '/cemetery/ { found = 1 } found && /stage = "old"/ { sub("old", "new"); found = 0 } { print }' \
  examples/svecnik.toml > "$fleet_dir/next.toml"
load handover 5 --prefix /orders/cemetery- & load_pid=$!
http PUT "29011/v1/config?expected=1" "$fleet_dir/next.toml" > /dev/null
until grep -q "^ordering" <(answer_of cemetery-1); do sleep 0.1; done
wait "$load_pid"
check "every request is answered during a department's handover" \
  [ "$(field answered handover)" = "$(field sent handover)" ]

"$build_dir/buckthornusher" config show --node 127.0.0.1:29011 2> /dev/null > "$fleet_dir/shown.toml"
check "the node returns the document unchanged" cmp -s "$fleet_dir/shown.toml" "$fleet_dir/next.toml"
"$build_dir/buckthornusher" config apply "$fleet_dir/next.toml" --node 127.0.0.1:29011 \
  --expected 1 2> /dev/null
check "config apply with an outdated number exits with 3" [ $? = 3 ]
check "the status command lists the nodes" \
  grep -q "lj-moste" <("$build_dir/buckthornusher" status --node 127.0.0.1:29011)
for metric in requests_total latency_seconds_count configuration_version lease_left_ms \
  upstream_slots upstream_waiting loop_lag_ms log_lines_total log_lines_limited_total; do
  check "the metrics contain $metric" grep -q "^buckthornusher_$metric" \
    <(curl -s -m 5 127.0.0.1:29011/metrics)
done
check "the burn report sums over the nodes" grep -q "stand-status" \
  <("$build_dir/buckthornusher" report burn --nodes 127.0.0.1:29011,127.0.0.1:29021)

check "an unknown route gets 404" \
  [ "$(status_code 127.0.0.1:29010/nothing/1)" = 404 ]
check "the body of that 404 states that the request did not run" grep -q '"ran":false' "$fleet_dir/body"
check "a keyed route without a key gets 400" [ "$(status_code 127.0.0.1:29010/stands/)" = 400 ]
head -c 2000000 /dev/zero > "$fleet_dir/big"
check "an oversized body gets 413" \
  [ "$(status_code -X POST --data-binary "@$fleet_dir/big" 127.0.0.1:29010/orders/1)" = 413 ]
check "an invalid operation id gets 400" \
  [ "$(status_code -X POST -H 'buckthornusher-operation: x' -d a 127.0.0.1:29010/orders/1)" = 400 ]
printf 'NONSENSE\r\n\r\n' > /dev/tcp/127.0.0.1/29010
printf 'nonsense to the peer port' > /dev/tcp/127.0.0.1/29012
check "the node still serves after malformed input" [ "$(status_code 127.0.0.1:29010/stands/k1)" = 200 ]
sed 's/shards = 64/shards = 0/' examples/svecnik.toml > "$fleet_dir/bad.toml"
http PUT "29011/v1/config?expected=2" "$fleet_dir/bad.toml" > "$fleet_dir/body"
check "an invalid document is refused with the key and the allowed range" \
  grep -q "service.ordering.shards: found 0, allowed 1 to 65536" "$fleet_dir/body"
http PUT "29011/v1/config?expected=0" examples/svecnik.toml > "$fleet_dir/body"
check "an outdated expected number gets a conflict" grep -q "conflict: number 2 is in force" "$fleet_dir/body"

check "no operation ran twice and no two owners overlapped" \
  "$build_dir/bench_judge" --ports "$upstream_ports"
[ "$failures" = 0 ] || { grep -h . "$fleet_dir"/load-*; cat "$fleet_dir"/*.log; }
exit "$failures"
