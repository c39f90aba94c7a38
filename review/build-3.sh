#!/bin/sh
# Builds the stand-in of the cases 11 to 14. It starts no other one.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/11/testdata/standin
