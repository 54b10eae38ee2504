#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start, without a module and without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOWORK=off go build -o target/review-2/rig review/rig/*.go
