#!/usr/bin/env bash
# Builds the system with the line of deploy/system.toml, and the stand-ins of the cases.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ .
(cd review/standin && GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off go build -o ../../target/review-standin .)
