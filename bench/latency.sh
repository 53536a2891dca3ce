#!/usr/bin/env bash
# Measures the latency that a node adds and the CPU time of a forwarded request.
#
#   bench/latency.sh BUILD_DIR
#
# Three nodes; only node 2 has an upstream, so each request that enters at node 1 is
# forwarded. Compares direct access to the upstream, access through its own node and
# forwarded requests at 1,000 requests/s, then raises the rate of forwarded requests. CPU
# time is that of the node's process, in microseconds per request.
set -uo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
trap 'fleet_stop 2> /dev/null' EXIT
cpu_us() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000000 / hz}' "/proc/$1/stat"; }
show() { grep -E "^(sent|answered|refused|unknown|transport|p50_us|p99_us)" "$fleet_dir/load" | paste -sd ' '; }

document=$(mktemp)
cat > "$document" <<'EOF'
environment = "trial"
[service.stand-status]
shards = 64
[[service.stand-status.route]]
prefix = "/stands/"
EOF
fleet_start "$1" 27000 "$document" "" "r:a r:b r:c" 2> /dev/null
"$1/standin_upstream" --port 27104 --node-port 27021 --service stand-status --slots 20 &
upstream_pid[0.0]=$!
sleep 1
http PUT "27011/v1/config?expected=0" "$document"
rm "$document"
fleet_wait 64 || exit 1
load() { "$1/bench_load" --ports "$2" --rate "$3" --seconds "$4" --connections "$5" > "$fleet_dir/load"; }
sleep 1
load "$1" 27104 1000 5 64; echo "direct 1000/s: $(show)"
load "$1" 27020 1000 5 64; echo "own upstream 1000/s: $(show)"
for rate in ${RATES:-1000 5000 10000 20000}; do
  entry=$(cpu_us "${node_pid[0]}") owner=$(cpu_us "${node_pid[1]}")
  load "$1" 27010 "$rate" 5 90
  echo "forwarded $rate/s: $(show) cpu_us_entry $(awk "BEGIN{print ($(cpu_us "${node_pid[0]}") - $entry) / ($rate * 5)}") cpu_us_owner $(awk "BEGIN{print ($(cpu_us "${node_pid[1]}") - $owner) / ($rate * 5)}")"
done
echo "memory KB: entry $(awk '/VmRSS/{print $2}' "/proc/${node_pid[0]}/status") owner $(awk '/VmRSS/{print $2}' "/proc/${node_pid[1]}/status")"
