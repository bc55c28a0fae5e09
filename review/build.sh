#!/usr/bin/env bash
# Builds the stand-ins and checkers that the scripts start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false GOTOOLCHAIN=local GOWORK=off go build -o ../bin/harness .
