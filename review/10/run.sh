#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/standin2/target/release/standin2
[ -x "$program" ] && [ -x target/release/pollenedge ] || exit 2
exec "$program" revived "$here/record.txt"
