# Functions that start and stop a small cluster of stand-ins and daemons on loopback. Sourced by the
# demonstration, the benchmark and the soak test. All processes are stopped by id, at exit at the latest.
#
#   cluster_begin BUILD [HOSTS [DAEMONS]]   work folder, stand-ins, daemons, configuration
#   cluster_end                             stops all processes

set -uo pipefail

token=local-operators
platform_token=local-platform
declare -A pid=()

fail() {
  echo "failed: $*" >&2
  exit 1
}

# wait_until SECONDS WHAT COMMAND...: repeats the command until it succeeds.
wait_until() {
  local end=$((SECONDS + $1)) what=$2
  shift 2
  until "$@" > /dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "waited in vain for: $what"
    sleep 0.05
  done
}

# start NAME PROGRAM ARGS...: runs the program in the background, with its output in NAME.log.
start() {
  local name=$1
  shift
  "$@" >> "$work/$name.log" 2>&1 &
  pid[$name]=$!
}

# port_in NAME KEY: prints the value of KEY in the stand-in's listening line.
port_in() {
  grep -m1 -oE "event=listening .*" "$work/$1.log" | grep -oE "(^| )$2=[0-9]+" | grep -oE '[0-9]+$'
}

stop() {
  local name=$1 signal=${2:-TERM}
  if [ -n "${pid[$name]:-}" ]; then
    kill "-$signal" "${pid[$name]}" 2> /dev/null
    wait "${pid[$name]}" 2> /dev/null
    unset "pid[$name]"
  fi
}

cluster_end() {
  local name
  for name in "${!pid[@]}"; do
    kill -CONT "${pid[$name]}" 2> /dev/null
    kill -TERM "${pid[$name]}" 2> /dev/null
  done
  sleep 0.2
  for name in "${!pid[@]}"; do
    kill -KILL "${pid[$name]}" 2> /dev/null
    wait "${pid[$name]}" 2> /dev/null
  done
  pid=()
}

# free_ports N: prints N ports without a listener, below the range of ephemeral ports.
free_ports() {
  local n=$1 p=$((20000 + (RANDOM % 600) * 20)) found=()
  while [ "${#found[@]}" -lt "$n" ]; do
    if ! (exec 3<> "/dev/tcp/127.0.0.1/$p") 2> /dev/null; then
      found+=("$p")
    fi
    p=$((p + 1))
  done
  echo "${found[@]}"
}

control() { # control STAND-IN JSON
  curl -sS -m 5 -H "Authorization: $platform_token" -d "$2" "http://127.0.0.1:$(port_in "$1" control_port)/control"
}

stats() { # stats STAND-IN
  curl -sS -m 5 -H "Authorization: $platform_token" "http://127.0.0.1:$(port_in "$1" control_port)/control/stats"
}

start_standins() {
  local hosts=$1 zones=$2
  start kv "$build/bin/standin_kv" --token "$platform_token" --writes-per-second 500 --reads-per-second 2000
  start livelist "$build/bin/standin_livelist" --token "$platform_token" --lag-ms "${lag_ms:-500}"
  start target "$build/bin/standin_target" --token "$platform_token" --count "$hosts" --ports-file "$work/ports.json"
  wait_until 10 "stand-ins" eval "grep -q event=listening $work/kv.log && grep -q event=listening $work/livelist.log && grep -q event=listening $work/target.log"
  start worker "$build/bin/standin_worker" --token "$platform_token" --count "$hosts" --zones "$zones" \
    --reboot-ms "${reboot_ms:-1000}" --usage-lag-ms 1000 --accelerators "${accelerators:-0}" \
    --livelist-control "http://127.0.0.1:$(port_in livelist control_port)" \
    --target-control "http://127.0.0.1:$(port_in target control_port)"
  wait_until 10 "workers" grep -q event=listening "$work/worker.log"
}

# write_settings N: writes the settings of daemon N, with separate ports.
write_settings() {
  local n=$1 zone_names=(a b c d)
  read -r caller operator peer <<< "${daemon_ports[$n]}"
  jq -n --arg member "entry-$n" --arg zone "${zone_names[$(((n - 1) % zones))]}" \
    --arg caller "127.0.0.1:$caller" --arg operator "127.0.0.1:$operator" --arg peer "127.0.0.1:$peer" \
    --arg token "$token" --arg ptoken "$platform_token" --arg kv "127.0.0.1:$(port_in kv port)" \
    --arg live "127.0.0.1:$(port_in livelist port)" --arg workers "127.0.0.1:$(port_in worker port)" \
    --argjson sample "${trace_sample:-0}" '{
      member: $member, zone: $zone, peer_address: $peer, caller_address: $caller,
      operator_address: $operator, operator_token: $token, peer_token: "local-peers",
      store: {addresses: [$kv], token: $ptoken, lease_ttl_ms: 5000},
      platform: {live_list: $live, workers: $workers, token: $ptoken, poll_ms: 500, list_lag_ms: 1000},
      trace: {sample: $sample}}' > "$work/entry-$n.json"
}

start_daemon() {
  start "entry-$1" "$build/bin/camphorhitchd" --settings "$work/entry-$1.json"
}

caller_address() {
  read -r caller _ _ <<< "${daemon_ports[$1]}"
  echo "127.0.0.1:$caller"
}

operator_address() {
  read -r _ operator _ <<< "${daemon_ports[$1]}"
  echo "127.0.0.1:$operator"
}

is_ready() {
  [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' "http://$(caller_address "$1")/-/ready")" = 200 ]
}

# operators ARGS...: runs the operators' client with all daemons as servers.
operators() {
  local n servers=()
  for n in $(seq 1 "$daemons"); do
    servers+=(-s "$(operator_address "$n")")
  done
  CAMPHORHITCH_TOKEN=$token "$build/bin/camphorhitch" "${servers[@]}" "$@"
}

# entries: prints the callers' addresses of all daemons, separated by commas.
entries() {
  local n list=()
  for n in $(seq 1 "$daemons"); do
    list+=("$(caller_address "$n")")
  done
  (IFS=,; echo "${list[*]}")
}

# fleet_file HOSTS ZONES: prints the operators' file for the hosts, with pools quotes, holds, deposits and spares.
# Racks and zones are the same as in the worker stand-in: four consecutive hosts per rack, racks assigned to zones in turn.
fleet_file() {
  jq -n --slurpfile ports "$work/ports.json" --argjson zones "$2" --argjson absent "${absent:-2}" '
    ["quotes", "holds", "deposits"] as $names
    | ($ports[0] | to_entries | map({n: (.key[1:] | tonumber), id: .key, port: .value}) | sort_by(.n)) as $hosts
    | (($hosts | length) / 10 | floor) as $spares
    | def host: {id: .id, zone: (((.n - 1) / 4 | floor) % $zones | "abcd"[.:. + 1]),
                 rack: ("r" + (((.n - 1) / 4 | floor) + 1 | tostring)),
                 target: ("127.0.0.1:" + (.port | tostring))};
      {configuration: {
         pools: ([$names[] | {name: ., services: [.], policy: "steady",
                              budget: {absent: $absent, absent_per_zone: $absent}}]
                 + [{name: "spares", spare: true, policy: "steady", budget: {absent: $spares, absent_per_zone: $spares}}]),
         policies: [{name: "steady", kind: "one_by_one", return_timeout_ms: 20000},
                    {name: "lean", kind: "least_buffer", return_timeout_ms: 20000},
                    {name: "swift", kind: "fastest", return_timeout_ms: 20000}],
         teams: [{name: "staff", processors: 512, memory_gb: 2048, accelerators: 8}]},
       pools: ([range(3) as $i | {pool: $names[$i],
                hosts: [$hosts[] | select(.n <= ($hosts | length) - $spares and (.n - 1) % 3 == $i) | host]}]
               + [{pool: "spares", hosts: [$hosts[] | select(.n > ($hosts | length) - $spares) | host]}])}'
}

cluster_begin() {
  build=$1
  local hosts=${2:-12}
  daemons=${3:-3}
  zones=${zones:-3}
  work=$(mktemp -d)
  trap 'cluster_end; [ -n "${keep_work:-}" ] || rm -rf "$work"' EXIT
  trap 'exit 1' HUP INT TERM # without this line, a signal would skip the EXIT trap
  start_standins "$hosts" "$zones"
  local ports n
  read -r -a ports <<< "$(free_ports $((3 * daemons)))"
  declare -gA daemon_ports=()
  for n in $(seq 1 "$daemons"); do
    daemon_ports[$n]="${ports[*]:$((3 * (n - 1))):3}"
    write_settings "$n"
    start_daemon "$n"
  done
  wait_until 20 "a roster with all daemons" all_in_roster
  fleet_file "$hosts" "$zones" > "$work/fleet.json"
  operators --apply "$work/fleet.json" > "$work/apply.txt" || fail "the fleet's file: $(cat "$work/apply.txt")"
  for n in $(seq 1 "$daemons"); do
    wait_until 20 "daemon $n to be ready" is_ready "$n"
  done
  wait_until 20 "every pool to serve" all_serve
}

# all_serve: succeeds if every pool except the spare pool has a serving host and every daemon has the configuration.
all_serve() {
  local n
  for n in $(seq 1 "$daemons"); do
    [ "$(status_of "$n" config_version)" -ge 1 ] || return 1
  done
  [ "$(operators --json 'show pools where serving > 0' | jq '.results[0].data | length')" -ge 3 ]
}

status_of() { # status_of N FIELD
  curl -s -m 1 -H "Authorization: Bearer $token" "http://$(operator_address "$1")/v1/status" | jq -r ".$2"
}

all_in_roster() {
  local n
  for n in $(seq 1 "$daemons"); do
    [ "$(status_of "$n" members)" = "$daemons" ] || return 1
  done
}
