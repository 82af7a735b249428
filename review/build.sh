#!/usr/bin/env bash
# Builds the system with the line of deploy/system.toml, and the stand-ins of the cases. They lie
# in a folder with a dot, which platform/wirenames_test.go passes over: it looks for names of the
# platform's protocols in the product, and clients, servers and a store must speak them.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ .
(cd review/.standin && GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off go build -o ../../target/review-standin .)
