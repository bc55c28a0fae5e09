#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with their stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
for case in 11 12 13 14 15; do
  if [ -d "review/$case" ]; then
    go build -tags review -o "target/review-$case" "./review/$case"
  fi
done
