#!/usr/bin/env bash
# Runs the whole system on this machine for a short time: stand-ins, four entry VMs in two regions, callers, and one
# backend server that fails its requests while its probes succeed. Exits with 0 only if every request is accounted for.
# DEMO_PORT is the first port.
set -eu
. "$(dirname "$0")/processes.sh"

base=${DEMO_PORT:-18000}
platform="127.0.0.1:$base"
vms="$dir/vms.json"
regions=(central central occidente occidente)
zones=(central-a central-b occidente-a occidente-b)

port() { echo "127.0.0.1:$((base + $1))"; }

launch() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
}

entry_json() {
  local i=$1
  printf '{"name":"entry-%d","role":"entry","state":"live","region":"%s","zone":"%s","caller_address":"%s","entry_address":"%s","keeper_address":"%s","keeper_caller_address":"%s","entry_operator_address":"%s","keeper_operator_address":"%s"}' \
    "$i" "${regions[$i]}" "${zones[$i]}" "$(port $((10 + 10 * i)))" "$(port $((11 + 10 * i)))" \
    "$(port $((12 + 10 * i)))" "$(port $((13 + 10 * i)))" "$(port $((14 + 10 * i)))" "$(port $((15 + 10 * i)))"
}

backend_json() {
  printf '{"name":"bookings-%d","role":"backend","state":"live","region":"%s","zone":"%s","service":"bookings","address":"%s"}' \
    "$1" "${regions[$(($1 % 4))]}" "${zones[$(($1 % 4))]}" "$(port $((100 + $1)))"
}

write_vms() {
  {
    echo "["
    for i in 0 1 2 3; do echo "$(entry_json "$i"),"; done
    for i in 0 1 2 3 4 5 6; do echo "$(backend_json "$i"),"; done
    backend_json 7
    echo "]"
  } >"$vms"
}

write_settings() {
  local i=$1
  cat >"$dir/entry-$i.yaml" <<YAML
vm: entry-$i
region: ${regions[$i]}
zone: ${zones[$i]}
caller_listen: $(port $((10 + 10 * i)))
peer_listen: $(port $((11 + 10 * i)))
operator_listen: $(port $((14 + 10 * i)))
keeper_address: $(port $((12 + 10 * i)))
answer_lifetime: 1s
YAML
  cat >"$dir/keeper-$i.yaml" <<YAML
vm: entry-$i
region: ${regions[$i]}
zone: ${zones[$i]}
caller_listen: $(port $((13 + 10 * i)))
peer_listen: $(port $((12 + 10 * i)))
operator_listen: $(port $((15 + 10 * i)))
store_url: http://$platform
vm_list_url: http://$platform
answer_lifetime: 1s
YAML
}

wait_for() { bin/standin await --url "$1"; }

write_vms
launch platform bin/standin platform --listen "$platform" --vms "$vms"
for i in 0 1 2 3 4 5 6 7; do
  launch "backend-$i" bin/standin backend --listen "$(port $((100 + i)))" --name "bookings-$i" --service-time 5ms
done
wait_for "http://$platform/v1/vms"
keepers=()
for i in 0 1 2 3; do
  write_settings "$i"
  launch "keeper-$i" bin/primrose-keeper --config "$dir/keeper-$i.yaml"
  launch "entry-$i" bin/primrose-entry --config "$dir/entry-$i.yaml"
  keepers+=(--keepers "$(port $((13 + 10 * i)))")
done
for i in 0 1 2 3; do
  wait_for "http://$(port $((14 + 10 * i)))/status"
  wait_for "http://$(port $((15 + 10 * i)))/status"
done

bin/primrosectl apply examples/catalogue --store "http://$platform" --vms "http://$platform" --author demo --wait

sick=$(port 103)
( sleep 4; bin/standin fault --address "$sick" --json '{"error_percent":100}' ) &
pids+=($!)
bin/primrosectl loadtest --vms "http://$platform" "${keepers[@]}" --service bookings --target /bookings/visits \
  --rate 300 --duration 10s --non-idempotent 50 --seed 7 | tee "$dir/result"
accounted=$(sed -n 's/^accounted for  *//p' "$dir/result")
echo "demo: ok, $accounted accounted for"
