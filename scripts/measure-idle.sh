#!/usr/bin/env bash
# Measures the resource usage of the idle nodes of an example: CPU time, memory
# and calls to the store. Usage: measure-idle.sh EXAMPLE SECONDS. Runs the example
# as separate processes on loopback and stops all of them at the end.
set -euo pipefail
src=$(cd "$(dirname "$0")/.." && pwd)
example=${1:-small}
seconds=${2:-30}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
cd "$work"
(cd "$src" && go build -o "$work/figweir" ./cmd/figweir)
./figweir init --answers "$src/examples/$example/answers.json" --out deployment >/dev/null
field() { sed -n "s/.*\"$2\": \"\([0-9.:]*\)\".*/\1/p" "$1"; }
platform=$(sed -n '/"platform"/,/}/p' "$(ls deployment/nodes/*.json | head -1)" | sed -n 's/.*"address": "\([0-9.:]*\)".*/\1/p')
./figweir standin platform --listen "$platform" --vms deployment/vms.json 2>platform.log & pids+=($!)
for f in deployment/engines/*.json; do ./figweir standin engine --settings "$f" 2>>engines.log & pids+=($!); done
for f in deployment/services/*.json; do ./figweir standin service --settings "$f" 2>>services.log & pids+=($!); done
operators=()
nodes=()
for f in deployment/nodes/*.json; do
  ./figweir node --settings "$f" 2>>nodes.log & pids+=($!)
  nodes+=($!)
  operators+=("$(field "$f" operators)")
done
FIGWEIR_OPERATOR_SECRET=$(cat deployment/operator.secret)
export FIGWEIR_OPERATOR_SECRET FIGWEIR_OPERATOR=${operators[0]}
for o in "${operators[@]}"; do until curl -sf "http://$o/healthz"; do sleep 0.2; done; done
./figweir apply --config deployment/config.json >/dev/null
for o in "${operators[@]}"; do until curl -sf "http://$o/readyz"; do sleep 0.2; done; done
sleep 15
snapshot() { for o in "${operators[@]}"; do curl -s -H "Authorization: Bearer $FIGWEIR_OPERATOR_SECRET" "http://$o/debug/vars"; done; }
snapshot >before.json
sleep "$seconds"
snapshot >after.json
resident=$(for pid in "${nodes[@]}"; do awk '/VmRSS/ {printf "%s ", $2}' "/proc/$pid/status"; done)
node -e '
  const read = f => require("fs").readFileSync(f, "utf8").split("{\"figweir\":").slice(1).map(x => JSON.parse("{\"figweir\":" + x).figweir);
  const b = read("before.json"), a = read("after.json"), s = +process.argv[1];
  const calls = {};
  a.forEach((n, i) => { for (const [k, v] of Object.entries(n.store_calls_total)) calls[k] = (calls[k] || 0) + (v - (b[i].store_calls_total[k] || 0)) / s; });
  for (const k in calls) calls[k] = +calls[k].toFixed(2);
  console.log(JSON.stringify({nodes: a.length, seconds: s,
    core_percent: a.map((n, i) => +(100 * (n.process_cpu_seconds - b[i].process_cpu_seconds) / s).toFixed(2)),
    resident_mb: process.argv[2].trim().split(" ").map(kb => +(kb / 1000).toFixed(1)),
    heap_mb: a.map(n => +(n.process_heap_bytes / 1e6).toFixed(1)), mapped_mb: a.map(n => +(n.process_memory_bytes / 1e6).toFixed(1)),
    goroutines: a.map(n => n.goroutines), store_calls_per_s: calls}));
' "$seconds" "$resident"
