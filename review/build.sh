#!/bin/sh
# Builds the stand-in that the scripts of all cases start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/1/testdata/standin
