#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-cold ./review/7/testdata/standin
go build -o target/review-evacuate ./review/6/testdata/standin
