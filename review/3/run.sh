#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Build
# first: the line of deploy/system.toml, then review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/foxtailward ] && [ -x target/review-standin ] || exit 2
exec target/review-standin taken-up review/3/record.txt
