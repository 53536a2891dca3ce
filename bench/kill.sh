#!/usr/bin/env bash
# Measures the time from the kill of an owner to the first answer for its keys.
#
#   bench/kill.sh BUILD_DIR KILLS [FAULT]     FAULT: KILL (default), STOP (paused for 8 s)
#
# Eight nodes in two regions with two failure domains each. In each round one node is
# killed under load and restarted. Prints for each round the longest time in which a key
# had no answer, and at the end the check of the upstreams' journals.
set -uo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
trap 'fleet_stop 2> /dev/null' EXIT
kills=${2:-10} fault=${3:-KILL}
UPSTREAM_FLAGS=${UPSTREAM_FLAGS:-}
fleet_start "$1" 25000 examples/svecnik.toml "stand-status ordering" \
  "osrednja:lj-vic osrednja:lj-moste stajerska:mb-tabor stajerska:ce-hudinja osrednja:lj-vic osrednja:lj-moste stajerska:mb-tabor stajerska:ce-hudinja" 2> /dev/null
sleep 1
http PUT "25011/v1/config?expected=0" examples/svecnik.toml
fleet_wait 128 || exit 1
sleep 4
for round in $(seq 1 "$kills"); do
  victim=$((round % 8))
  # The load enters at all nodes but the victim.
  entries=$(echo "$caller_ports" | tr ',' '\n' | grep -v "^$((25010 + 10 * victim))$" | paste -sd ,)
  "$1/bench_load" --ports "$entries" --rate 800 --seconds 7 --keys 64 --orders 0.2 \
    --connections 16 --seed "$round" > "$fleet_dir/load" &
  load=$!
  sleep 1
  kill -"$fault" "${node_pid[$victim]}"
  if [ "$fault" = STOP ]; then sleep 8; kill -CONT "${node_pid[$victim]}"; fi
  wait "$load"
  [ "$fault" = KILL ] && fleet_start_node "$victim" 2> /dev/null
  echo "round $round $(grep -E 'longest_gap_ms|answered|refused|unknown|p99_us|orders_lost|wrong' "$fleet_dir/load" | paste -sd ' ')"
  fleet_wait 128
  sleep 3
done
"$1/bench_judge" --ports "$upstream_ports"
