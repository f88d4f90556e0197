#!/usr/bin/env bash
# Starts three daemons and stand-ins for the backend servers and the platform on loopback, puts the
# configuration examples/kite in force and sends requests. Stops all processes at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD:-build}
jobs=${JOBS:-$(nproc)}
tools/install_packages.sh
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build "$build" -j "$jobs" --target godwitpaddled godwitctl standin_server standin_platform

folder=$(mktemp -d)
pids=()
stop() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  echo "stopped; logs and data are in $folder"
}
trap stop EXIT
start() { # NAME COMMAND..
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
}
ctl() { "$build/ctl/godwitctl" "$@"; }

zones=(tun-a tun-b tun-c)
for i in 0 1 2; do
  seeds=()
  for j in 0 1 2; do [ "$j" = "$i" ] || seeds+=("\"127.0.0.1:1810$j\""); done
  cat >"$folder/n$i.json" <<SETTINGS
{
  "node": "n$i",
  "region": "northern-tunisia",
  "zone": "${zones[$i]}",
  "peer_address": "127.0.0.1:1810$i",
  "http_address": "127.0.0.1:1800$i",
  "seeds": [$(IFS=,; echo "${seeds[*]}")],
  "data_folder": "$folder/data-n$i",
  "platform": {"adapter": "http", "address": "127.0.0.1:18200"}
}
SETTINGS
  "$build/daemon/godwitpaddled" --check "$folder/n$i.json"
  start "n$i" "$build/daemon/godwitpaddled" --config "$folder/n$i.json"
done
start servers "$build/tests/standins/standin_server" --folder examples/kite --first-port 18300 \
  --control 127.0.0.1:18201 --gateways 127.0.0.1:18000,127.0.0.1:18001,127.0.0.1:18002
start platform "$build/tests/standins/standin_platform" --folder examples/kite \
  --address 127.0.0.1:18200 --controls 127.0.0.1:18201

echo "== bootstrap: forms the group on n0 and prints the first keys"
ctl bootstrap --address 127.0.0.1:18000 --timeout 30 >"$folder/keys"
operator=$(awk '$1 == "operator" {print $3}' "$folder/keys")
customer=$(awk '$1 == "customer" {print $3}' "$folder/keys")
export GODWITCTL_ADDRESS=127.0.0.1:18000,127.0.0.1:18001,127.0.0.1:18002
export GODWITCTL_KEY=$operator

echo "== apply: the operator submits examples/kite"
ctl apply examples/kite
ctl review
echo "== approve: the customer puts it in force"
(cd examples/kite && echo *.json) >"$folder/files"
# shellcheck disable=SC2046
GODWITCTL_KEY=$customer ctl approve $(cat "$folder/files")

echo "== keys grant: a key for the team tunis-weavers"
key=$(ctl keys grant weavers-1 --team tunis-weavers)

echo "== waiting until every VM counts as available"
for _ in $(seq 300); do
  ctl status --json >"$folder/status"
  python3 - "$folder/status" <<'PYTHON' && break
import json, sys
pools = json.load(open(sys.argv[1]))["pools"].values()
sys.exit(not all(pool["available"] == pool["vms"] and pool.get("ready_slots") for pool in pools))
PYTHON
  sleep 0.2
done

echo "== a quote, sent to each daemon"
for i in 0 1 2; do
  curl -sS -H "Authorization: Bearer $key" -d "{\"cloth\": \"linen\", \"metres\": $((10 + i))}" \
    "http://127.0.0.1:1800$i/v1/queues/quotes/requests"
  echo
done
echo "== an order, which runs at most once: the repeat gets the first answer"
id="$(date +%s%3N)-order"
for i in 0 1; do
  curl -sS -w ' (%{http_code})' -H "Authorization: Bearer $key" -H "Idempotency-Key: $id" \
    -d '{"order": 1}' "http://127.0.0.1:1800$i/v1/queues/quote-orders/requests"
  echo
done
echo "== without a key: notices are open to all, quotes are not"
curl -sS -d '{"notice": "hello"}' "http://127.0.0.1:18002/v1/queues/notices/requests"
echo
curl -sS -w ' (%{http_code})' -d '{}' "http://127.0.0.1:18002/v1/queues/quotes/requests"
echo
echo "== status"
ctl status
ctl members
