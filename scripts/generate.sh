#!/usr/bin/env bash
# Regenerates the gRPC code and its checksum file. Needs protoc; the Go generators are built at the versions in go.mod.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$bin/protoc-gen-go-grpc" google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative api/primrosev1/primrose.proto
sha256sum api/primrosev1/primrose.proto api/primrosev1/*.pb.go > api/primrosev1/generated.sum
