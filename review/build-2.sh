#!/bin/sh
# Builds the stand-ins and drivers of the cases in review/4 to review/7 into target/review2. They use the standard library alone.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/harness2"
GOFLAGS=-mod=mod GOPROXY=off go build -o "$root/target/review2/" ./cmd/...
