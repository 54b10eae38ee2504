#!/bin/sh
# Builds the stand-ins and checks of the scripts, standard library only, into target/review/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
GOFLAGS="${GOFLAGS:--buildvcs=false}" go build -o target/review/harness review/harness/*.go
