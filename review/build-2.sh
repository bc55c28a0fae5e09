#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10. The program under test is built by the
# build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review2 ./review/harness2
