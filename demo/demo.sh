#!/usr/bin/env bash
# Demo on one machine: for each of the two users a store, two regions with two failure
# domains each, three services with four targets each and one node per failure domain. The
# load enters at all nodes; one owner is killed and one node gets a planned stop. Prints
# the results and exits with 0 if no operation ran twice and no two owners overlapped.
#
#   demo/demo.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
failed=0

# Prints the number of changes of owner, from the epochs in the store, and the highest
# divided by the mean number of shards of a node, from the nodes' status.
show_placement() { # BASE
  local epochs port count max=0 total=0 nodes=0
  epochs=$(http GET "$1/v1/objects" | grep -o 'epoch\\":\\"[0-9]*' | grep -o '[0-9]*$')
  echo "churn: $(echo "$epochs" | awk '{ sum += $1 - 1 } END { print sum, "changes of owner of", NR, "shards" }')"
  for port in ${operator_ports//,/ }; do
    count=$(http GET "$port/v1/status" | sed -n 's/.*"shards":\([0-9]*\).*/\1/p')
    [ -n "$count" ] || continue
    total=$((total + count)) nodes=$((nodes + 1))
    [ "$count" -gt "$max" ] && max=$count
  done
  echo "imbalance: $(awk "BEGIN { print $max * $nodes / $total }") over $nodes nodes"
}

run_user() { # NAME BASE DOCUMENT SERVICES DOMAINS PREFIX
  echo "== $1"
  fleet_start "$build_dir" "$2" "$3" "$4" "$5"
  sleep 0.5
  local tries
  for tries in 1 2 3 4 5 6; do
    http PUT "$(($2 + 11))/v1/config?expected=0" "$3" && break
    sleep 0.3
  done
  fleet_wait 128 || { failed=1; fleet_stop; return; }
  "$build_dir/bench_load" --ports "$caller_ports" --rate 500 --seconds 12 --keys 100 \
    --prefix "$6" --orders 0.2 > "$fleet_dir/load" &
  local load=$!
  sleep 2
  echo "-- one owner killed"
  kill -KILL "${node_pid[1]}"
  sleep 5
  echo "-- one planned stop"
  kill -TERM "${node_pid[2]}"
  wait "${node_pid[2]}"
  echo "exit code of the planned stop: $?"
  wait "$load"
  cat "$fleet_dir/load"
  "$build_dir/bench_judge" --ports "$upstream_ports" || failed=1
  show_placement "$2"
  echo "store: $(http GET "$2/v1/stats" | paste -sd ' ')"
  fleet_stop 2> /dev/null
}

build_dir=$1
trap 'fleet_stop 2> /dev/null' EXIT
run_user "Svečnik" 21000 examples/svecnik.toml "stand-status ordering rounds" \
  "osrednja:lj-vic osrednja:lj-moste stajerska:mb-tabor stajerska:ce-hudinja" /stands/
SLOTS=12 run_user "Tūī" 23000 examples/tui.toml "book-records issuing checking" \
  "north:north-one north:north-two south:south-one south:south-two" /ranges/
exit "$failed"
