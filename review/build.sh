#!/bin/sh
# Builds the stand-ins of all scripts.
set -eu
cd "$(dirname "$0")/.."
go test -buildvcs=false -tags review -c -o target/review-standin ./review/standin
