#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, which include the project's own ones, as one program.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
