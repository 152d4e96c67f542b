# Points of control traffic: what the daemons cost at one size. Sourced after common.sh.

measure() { # measure WHAT LOAD
  local rate=$2 served='{"requests_per_s": 0, "good": 0}'
  sample > "$work/a.json"
  if [ "$rate" -gt 0 ]; then
    served=$(load --services quotes --rate "$rate" --seconds "$window" --threads 32 --mix quick=1@5 \
      --keyed "${keyed:-0}" --id-prefix "$RANDOM-")
  else
    sleep "$window"
  fi
  sample > "$work/b.json"
  per_second "$work/a.json" "$work/b.json" | jq -c --arg what "$1" --argjson hosts "$hosts" --argjson daemons "$daemons" \
    --argjson pools "$pools" --argjson served "$served" --argjson keyed "${keyed:-0}" \
    '{what: $what, hosts: $hosts, daemons: $daemons, pools: $pools, keyed: $keyed, rate: $served.requests_per_s, good: $served.good} + .'
}

point() { # point HOSTS DAEMONS POOLS LOADS...
  hosts=$1
  begin "$1" "$2" "$3"
  sleep 3
  shift 3
  measure idle 0
  local rate
  for rate in "$@"; do
    keyed=0 measure plain "$rate"
    keyed=1 measure keyed "$rate"
  done
}

# points_table FILE
points_table() {
  table '["what", "hosts", "daemons", "pools", "req/s", "cpu %", "most cpu %", "RSS MB", "kv calls", "kv B", "peer calls", "peer B", "platform B", "all B"],
    (.[] | [.what, .hosts, .daemons, .pools, (.rate | round)] + ([.mean.cpu_percent, .most.cpu_percent] + (.mean | [.rss_mb, .store_calls,
     .store_out + .store_in, .peer_calls, .peer_out + .peer_in, .platform_out + .platform_in, .bytes]) | map(. * 100 | round / 100)))' "$1"
}
