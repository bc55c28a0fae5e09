#!/usr/bin/env bash
# Regenerates gen/ from the .proto files. Needs protoc (Debian package
# protobuf-compiler); the build itself does not.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc -I proto --go_out=gen --go_opt=module=github.com/figweir/figweir/gen \
  --connect-go_out=gen --connect-go_opt=module=github.com/figweir/figweir/gen,simple proto/figweir/v1/*.proto
