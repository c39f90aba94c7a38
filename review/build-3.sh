#!/bin/sh
# Builds the stand-in of the cases 11 to 13, the only one that they start.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin-3 ./review/11/testdata/standin
