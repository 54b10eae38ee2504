#!/bin/sh
# Plays the case "refused" with separate processes of target/anvilnode; review/build.sh builds the stand-ins.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$here/../.." || exit 2
[ -x target/anvilnode ] && [ -x target/review/harness ] || { echo "could not run: build target/anvilnode and review/build.sh first"; exit 2; }
exec target/review/harness refused "$here/record.txt"
