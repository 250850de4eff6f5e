#!/usr/bin/env bash
# Checks formatting, go vet, staticcheck, and by checksum that the generated code belongs to the current proto file.
set -eu
cd "$(dirname "$0")/.."
unformatted=$(go tool gofumpt -l $(git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$'))
if [ -n "$unformatted" ]; then
  echo "not gofumpt-clean:" && echo "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
sha256sum --quiet -c api/primrosev1/generated.sum
