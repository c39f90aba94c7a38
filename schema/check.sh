#!/bin/sh
# Fails when the generated files differ from those that the files in schema/ give.
set -eu
cd "$(dirname "$0")/.."
files="schema/*/*_generated.go docs/log-catalogue.md docs/*-reference.md"
# shellcheck disable=SC2086
before=$(cat $files | cksum)
./schema/generate.sh
# shellcheck disable=SC2086
after=$(cat $files | cksum)
if [ "$before" != "$after" ]; then
  echo "generated files were not up to date; run make generate and commit the result" >&2
  exit 1
fi
