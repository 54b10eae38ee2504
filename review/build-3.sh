#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
GOWORK=off go build -o target/review-3/rig review/rig-3/*.go
