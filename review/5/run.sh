#!/bin/bash
# Plays the case in this folder: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. The deploy file's build and review/build.sh come first.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/primrose-gateway ] && [ -x target/lab ] || exit 2
exec target/lab crasher-roll review/5
