# What the parts of the benchmark share. Sourced by each: BUILD and the size (quick or full) are its arguments.

cd "$(dirname "$0")/../.."
source tools/cluster.sh
mode=${2:-quick}
out=$1/bench
mkdir -p "$out"

pick() { # pick QUICK FULL
  if [ "$mode" = quick ]; then echo "$1"; else echo "$2"; fi
}

# fleet_file HOSTS ZONES: as the cluster's, for ${pools:-4} pools of which one holds the spares.
fleet_file() {
  jq -n --slurpfile ports "$work/ports.json" --argjson zones "$2" --argjson pools "${pools:-4}" \
    --argjson absent "${absent:-2}" '
    ($pools - 1) as $n
    | [range($n) | (["quotes", "holds", "deposits"][.] // ("p" + (. + 1 | tostring)))] as $names
    | ($ports[0] | to_entries | map({n: (.key[1:] | tonumber), id: .key, port: .value}) | sort_by(.n)) as $hosts
    | ([($hosts | length) / 10 | floor, 1] | max) as $spares
    | (($hosts | length) - $spares) as $used
    | def host: {id: .id, zone: (((.n - 1) / 4 | floor) % $zones | "abcd"[.:. + 1]),
                 rack: ("r" + (((.n - 1) / 4 | floor) + 1 | tostring)),
                 target: ("127.0.0.1:" + (.port | tostring))};
      {configuration: {
         pools: ([$names[] | {name: ., services: [.], policy: "steady",
                              budget: {absent: $absent, absent_per_zone: $absent}}]
                 + [{name: "spares", spare: true, policy: "steady",
                     budget: {absent: $spares, absent_per_zone: $spares}}]),
         policies: [{name: "steady", kind: "one_by_one", return_timeout_ms: 20000}],
         teams: [{name: "staff", processors: 512, memory_gb: 2048, accelerators: 8}]},
       pools: ([range($n) as $i | {pool: $names[$i],
                hosts: [$hosts[] | select(.n <= $used and (.n - 1) % $n == $i) | host]}]
               + [{pool: "spares", hosts: [$hosts[] | select(.n > $used) | host]}])}'
}

# begin HOSTS DAEMONS [POOLS]: a fresh cluster; the one before it is stopped.
begin() {
  [ "${#pid[@]}" -eq 0 ] || { cluster_end; rm -rf "$work"; }
  pools=${3:-4}
  cluster_begin "$build_folder" "$1" "$2"
}

now_ms() {
  echo $((${EPOCHREALTIME/./} / 1000))
}

# metrics_of N: all samples of daemon N as one JSON object.
metrics_of() {
  curl -s -m 5 -H "Authorization: Bearer $token" "http://$(operator_address "$1")/metrics" |
    jq -R -n '[inputs | select(startswith("#") | not) | capture("^(?<k>.*) (?<v>[^ ]+)$")
               | {key: .k, value: (.v | tonumber? // 0)}] | from_entries'
}

rss_kb() { # rss_kb NAME
  awk '/^VmRSS/ {print $2}' "/proc/${pid[$1]}/status"
}

cpu_ticks() { # cpu_ticks NAME: user and system time, hundredths of a second
  awk '{print $14 + $15}' "/proc/${pid[$1]}/stat"
}

# sample: {at_ms, kv, daemons: [{name, ticks, rss_kb, metrics}]}
sample() {
  local n
  for n in $(seq 1 "$daemons"); do
    metrics_of "$n" | jq -c --arg n "entry-$n" --argjson ticks "$(cpu_ticks "entry-$n")" \
      --argjson rss "$(rss_kb "entry-$n")" '{name: $n, ticks: $ticks, rss_kb: $rss, metrics: .}'
  done | jq -s --argjson at "$(now_ms)" --argjson kv "$(stats kv)" '{at_ms: $at, kv: $kv, daemons: .}'
}

# per_second BEFORE AFTER (files): what the daemons cost in between, mean and most over the daemons.
per_second() {
  jq -n --slurpfile a "$1" --slurpfile b "$2" '
    $a[0] as $a | $b[0] as $b | (($b.at_ms - $a.at_ms) / 1000) as $s
    | def sum(p): [to_entries[] | select(.key | test(p)) | .value] | add // 0;
      def rate($x; $y; p): (($y.metrics | sum(p)) - ($x.metrics | sum(p))) / $s;
      [range($a.daemons | length) as $i | $a.daemons[$i] as $x | $b.daemons[$i] as $y
       | {cpu_percent: (($y.ticks - $x.ticks) / $s),
          rss_mb: ($y.rss_kb / 1024),
          store_calls: rate($x; $y; "^camphorhitch_store_calls_total"),
          store_out: rate($x; $y; "^camphorhitch_store_bytes_total.*out"),
          store_in: rate($x; $y; "^camphorhitch_store_bytes_total.*in\""),
          peer_calls: rate($x; $y; "^camphorhitch_peer_calls_total.*direction=\"out"),
          beats: rate($x; $y; "^camphorhitch_peer_calls_total.*beat.*direction=\"out"),
          permits: rate($x; $y; "^camphorhitch_peer_calls_total.*permit.*direction=\"out"),
          peer_out: rate($x; $y; "^camphorhitch_peer_bytes_total.*out"),
          peer_in: rate($x; $y; "^camphorhitch_peer_bytes_total.*in\""),
          platform_calls: rate($x; $y; "^camphorhitch_platform_calls_total"),
          platform_out: rate($x; $y; "^camphorhitch_platform_bytes_total.*out"),
          platform_in: rate($x; $y; "^camphorhitch_platform_bytes_total.*in\"")}
       | .bytes = .store_out + .store_in + .peer_out + .peer_in + .platform_out + .platform_in] as $all
    | ($all[0] | keys_unsorted) as $keys
    | {seconds: $s,
       kv_calls: (($b.kv.total_calls - $a.kv.total_calls) / $s),
       kv_bytes: (($b.kv.bytes_in + $b.kv.bytes_out - $a.kv.bytes_in - $a.kv.bytes_out) / $s),
       kv_keys: $b.kv.keys,
       mean: ([$keys[] as $k | {key: $k, value: ([$all[][$k]] | add / length)}] | from_entries),
       most: ([$keys[] as $k | {key: $k, value: ([$all[][$k]] | max)}] | from_entries)}'
}

# load ARGS...: a load through all daemons; its summary is JSON.
load() {
  "$build_folder/bin/caller_load" --entries "$(entries)" "$@"
}

# serving_hosts POOL: ids of its hosts that serve now (a policy holds some back as a buffer).
serving_hosts() {
  operators --json "show hosts where pool = $1 and state = serving" | jq -r '.results[0].data[].id'
}

# direct ARGS...: the same straight to the hosts that serve the pool quotes.
direct() {
  local list
  list=$(operators --json 'show hosts where pool = quotes and state = serving' | jq -r '[.results[0].data[].target] | join(",")')
  "$build_folder/bin/caller_load" --direct --entries "$list" --repeats 3 "$@"
}

# table FILTER FILE: rows as columns.
table() {
  jq -r "$1 | @tsv" "$2" | column -t -s $'\t'
}

build_folder=$1
