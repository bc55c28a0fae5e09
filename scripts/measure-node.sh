#!/usr/bin/env bash
# Measures the CPU time that one node uses per request and per token, and the
# resource usage of an idle node. Runs the small example as separate processes on
# loopback, prints one JSON line per run and stops all processes at the end.
set -euo pipefail
src=$(cd "$(dirname "$0")/.." && pwd)
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT
cd "$work"
(cd "$src" && go build -o "$work/figweir" ./cmd/figweir)
./figweir init --answers "$src/examples/small/answers.json" --out deployment >/dev/null
./figweir standin platform --listen 127.0.0.1:23000 --vms deployment/vms.json 2>platform.log & pids+=($!)
for f in deployment/engines/*.json; do ./figweir standin engine --settings "$f" 2>>engines.log & pids+=($!); done
for f in deployment/services/*.json; do ./figweir standin service --settings "$f" 2>>services.log & pids+=($!); done
for f in deployment/nodes/*.json; do ./figweir node --settings "$f" 2>>nodes.log & pids+=($!); done
for port in 23005 23006; do until curl -sf "http://127.0.0.1:$port/healthz"; do sleep 0.2; done; done
export FIGWEIR_OPERATOR=127.0.0.1:23005
FIGWEIR_OPERATOR_SECRET=$(cat deployment/operator.secret)
export FIGWEIR_OPERATOR_SECRET
./figweir apply --config deployment/config.json >/dev/null
for port in 23005 23006; do until curl -sf "http://127.0.0.1:$port/readyz"; do sleep 0.2; done; done

var() { # var NAME: prints a metric of the first node
  curl -s -H "Authorization: Bearer $FIGWEIR_OPERATOR_SECRET" http://127.0.0.1:23005/debug/vars |
    sed -n "s/.*\"$1\": \([0-9.e+-]*\).*/\1/p"
}
run() { # run REQUESTS_PER_S OUTPUT_TOKENS SECONDS: sends load and prints the result
  cat >scenario.json <<JSON
{"seed": 1, "nodes": ["127.0.0.1:23001"], "model": "draft-lm", "request_timeout_s": 30,
 "objectives": {"first_token_s": 0.54, "between_tokens_s": 0.03, "target_ratio": 0.95},
 "workspaces": [{"name": "north", "weight": 2, "rate_per_s": $1}],
 "phases": [{"name": "steady", "duration_s": $3, "prompt_tokens": 200, "output_tokens": $2}], "calls": {}}
JSON
  local before after
  before=$(var process_cpu_seconds)
  ./figweir load --scenario scenario.json --keys deployment/keys.json >result.json 2>/dev/null
  after=$(var process_cpu_seconds)
  node -e '
    const r = JSON.parse(require("fs").readFileSync("result.json"));
    const tokens = r.workspaces.reduce((n, w) => n + w.good_tokens, 0);
    console.log(JSON.stringify({rate: +process.argv[1], output: +process.argv[2], requests: r.requests, whole: r.whole, good: r.good,
      good_tokens: tokens, cpu_s: +(process.argv[4] - process.argv[3]).toFixed(3), seconds: +r.duration_s.toFixed(1),
      first_token_p50_ms: r.first_token_ms.p50, first_token_p95_ms: r.first_token_ms.p95, between_p95_ms: r.between_tokens_ms.p95}))
  ' "$1" "$2" "$before" "$after"
}
idle_before=$(var process_cpu_seconds)
sleep 20
idle_after=$(var process_cpu_seconds)
echo "{\"idle_cpu_s_in_20_s\": $(node -e 'console.log((process.argv[2]-process.argv[1]).toFixed(3))' "$idle_before" "$idle_after"), \"heap_bytes\": $(var process_heap_bytes), \"memory_bytes\": $(var process_memory_bytes)}"
run 20 20 10
run 20 100 10
run 20 200 10
run 5 100 10
run 40 50 10
run 7.55 486 20
echo "{\"after\": true, \"heap_bytes\": $(var process_heap_bytes), \"memory_bytes\": $(var process_memory_bytes)}"
