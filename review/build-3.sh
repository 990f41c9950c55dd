#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/standin-3 ./review/standin-3
