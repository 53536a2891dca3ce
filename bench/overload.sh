#!/usr/bin/env bash
# Measures goodput under overload. One owner has an upstream that runs 20 requests of 20 ms
# concurrently, about 1,000 requests/s; the load is half, one, two and five times that. One
# request in ten is an order.
#
#   bench/overload.sh BUILD_DIR
set -uo pipefail
cd "$(dirname "$0")/.."
. demo/fleet.sh
trap 'fleet_stop 2> /dev/null' EXIT
document=$(mktemp)
cat > "$document" <<'EOF'
environment = "trial"
[service.stand-status]
shards = 16
deadline_ms = 300
[[service.stand-status.route]]
prefix = "/stands/"
EOF
fleet_start "$1" 31000 "$document" "" "r:a r:b r:c" 2> /dev/null
"$1/standin_upstream" --port 31104 --node-port 31021 --service stand-status --slots 20 \
  --work-us 20000 & upstream_pid[0.0]=$!
sleep 1
http PUT "31011/v1/config?expected=0" "$document"
rm "$document"
fleet_wait 16 || exit 1
for rate in 500 1000 2000 5000; do
  "$1/bench_load" --ports 31020 --rate "$rate" --seconds 6 --connections 900 --orders 0.1 \
    > "$fleet_dir/load"
  echo "rate $rate: $(grep -E '^(sent|answered|refused|unknown|orders_done|orders_lost|p99_us|reason)' "$fleet_dir/load" | paste -sd ' ') goodput_per_s $(awk '/^answered/{print $2 / 6}' "$fleet_dir/load")"
done
echo "upstream: $(http GET 31104/stats | paste -sd ' ')"
