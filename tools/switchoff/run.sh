#!/bin/sh
# Shows that tests can fail (mutation test): for each line of the list in $1, it switches
# off one rule of the code and expects the test to fail. A line has the fields
# name|package|test|file|sed expression; the expression edits a copy of the file, which
# replaces the file by the -overlay flag of go. The source files do not change. The exit
# code is 0 if all tests fail as expected.
set -eu
cd "$(dirname "$0")/../.."
list="$1"
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
while IFS='|' read -r name package test file expression; do
  sed "$expression" "$file" > "$work/switched.go"
  if cmp -s "$file" "$work/switched.go"; then
    echo "$name: the expression changes nothing in $file" >&2
    exit 1
  fi
  printf '{"Replace":{"%s":"%s"}}' "$PWD/$file" "$work/switched.go" > "$work/overlay.json"
  # GOFLAGS passes the overlay to tests that build a program as well.
  export GOFLAGS="-overlay=$work/overlay.json"
  if ! go build ./... 2> "$work/output"; then
    echo "$name: does not build" >&2
    cat "$work/output" >&2
    exit 1
  fi
  if ! go vet "$package" > "$work/output" 2>&1; then
    echo "$name: the tests do not build" >&2
    cat "$work/output" >&2
    exit 1
  fi
  if go test -timeout 60s -run "$test" "$package" > "$work/output" 2>&1; then
    echo "$name: $test passes although the rule is off" >&2
    passed=$((passed + 1))
  else
    echo "$name: $test fails, as it must"
  fi
done < "$list"
exit "$passed"
