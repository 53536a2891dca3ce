# Functions that start and stop a small fleet of stand-ins and nodes on 127.0.0.1.
#
#   fleet_start BUILD_DIR BASE_PORT DOCUMENT SERVICES DOMAINS
# Starts one node for each entry REGION:DOMAIN of DOMAINS, with one upstream per service.
# Ports: store BASE, node i BASE+10i (callers), +1 (operators), +2 (peers), upstreams from +3.
# node_settings, if set, holds further lines for the [node] table of the settings.
# Sets fleet_dir, node_pid[i], upstream_pid[i.j] and caller_ports, operator_ports,
# upstream_ports (separated by commas).
declare -A node_pid upstream_pid

fleet_start() {
  build=$1 base=$2 document=$3
  read -ra services <<< "$4"
  read -ra domains <<< "$5"
  slots=${SLOTS:-20}
  fleet_dir=$(mktemp -d)
  caller_ports= upstream_ports= operator_ports=
  node_pid=() upstream_pid=()
  "$build/standin_store" --port "$base" & store_pid=$!
  local i
  for i in "${!domains[@]}"; do
    fleet_start_node "$i"
  done
}

fleet_start_node() {
  local i=$1 port=$((base + 10 * ($1 + 1))) j
  local region=${domains[$i]%%:*} domain=${domains[$i]#*:}
  cat > "$fleet_dir/node-$i.toml" <<EOF
[node]
name = "$domain-$i"
region = "$region"
domain = "$domain"
seeds = ["tcp://127.0.0.1:$((base + 12))", "tcp://127.0.0.1:$((base + 22))"]
${node_settings:-}
[listen]
callers = "127.0.0.1:$port"
operators = "127.0.0.1:$((port + 1))"
peers = "127.0.0.1:$((port + 2))"
[store]
address = "127.0.0.1:$base"
EOF
  "$build/buckthornusher" node --settings "$fleet_dir/node-$i.toml" 2>> "$fleet_dir/node-$i.log" &
  node_pid[$i]=$!
  [[ ",$caller_ports," == *",$port,"* ]] || {
    caller_ports+=${caller_ports:+,}$port
    operator_ports+=${operator_ports:+,}$((port + 1))
  }
  for j in "${!services[@]}"; do
    [ -n "${upstream_pid[$i.$j]:-}" ] && continue
    "$build/standin_upstream" --port $((port + 3 + j)) --node-port $((port + 1)) \
      --service "${services[$j]}" --slots "$slots" ${UPSTREAM_FLAGS:-} &
    upstream_pid[$i.$j]=$!
    upstream_ports+=${upstream_ports:+,}$((port + 3 + j))
  done
}

http() { # METHOD URL [BODY-FILE]
  local body=()
  [ "$1" = POST ] && body=(--data-binary "")
  [ -n "${3:-}" ] && body=(--data-binary "@$3")
  curl -s -m 5 -X "$1" "http://127.0.0.1:$2" "${body[@]}"
}

# Waits up to about 20 s until the nodes own SHARDS shards in total.
fleet_wait() { # SHARDS
  local tries owned port count
  for tries in $(seq 1 200); do
    owned=0
    for port in ${operator_ports//,/ }; do
      count=$(http GET "$port/v1/status" | sed -n 's/.*"shards":\([0-9]*\).*/\1/p')
      owned=$((owned + ${count:-0}))
    done
    [ "$owned" -eq "$1" ] && return 0
    sleep 0.1
  done
  echo "the fleet did not come up: $owned of $1 shards have an owner" >&2
  return 1
}

fleet_stop() {
  local pid
  for pid in "${node_pid[@]}" "${upstream_pid[@]}" "$store_pid"; do
    kill -CONT "$pid" 2> /dev/null
    kill -KILL "$pid" 2> /dev/null
  done
  wait 2> /dev/null
  rm -rf "$fleet_dir"
}
