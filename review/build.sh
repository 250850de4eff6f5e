#!/bin/bash
# Builds the stand-ins that the scripts of this folder start. The deploy file's build comes first.
set -eu
cd "$(dirname "$0")/.."
go build -o target/ ./review/lab
