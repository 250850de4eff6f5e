#!/usr/bin/env bash
# Runs the capacity benchmarks and writes docs/CAPACITY.md from their output. The argument is the -benchtime of go test.
set -eu
cd "$(dirname "$0")/.."
result=$(mktemp)
trap 'rm -f "$result"' EXIT
# One package after the other, so that the benchmarks do not compete for the processor.
go test -p 1 -run '^$' -bench . -benchtime "$1" -timeout 10m ./internal/capacity ./internal/keeper | tee "$result"
go run ./internal/capacity/page <"$result" >docs/CAPACITY.md.new
mv docs/CAPACITY.md.new docs/CAPACITY.md
echo "capacity: docs/CAPACITY.md is written"
