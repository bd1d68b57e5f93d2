#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go test -buildvcs=false -tags review -c -o target/review-2 ./review/deployment
