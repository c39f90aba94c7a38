#!/bin/sh
# Generates the Go packages below schema/ and the reference pages in docs/ from the
# files in schema/.
set -eu
cd "$(dirname "$0")/.."
base=https://hickoryworks.example/schema
args=""
files=""
# Each line: schema file, package.
while read -r name package; do
  mkdir -p "schema/$package"
  args="$args --schema-package=$base/$name=hickoryworks/schema/$package"
  args="$args --schema-output=$base/$name=schema/$package/${name}_generated.go"
  files="$files schema/$name.schema.json"
done <<LIST
id hickoryid
document hickorydocument
settings hickorysettings
flow hickorymessage
relay hickorymessage
status hickorymessage
report hickoryaudit
request hickorymessage
member hickorymessage
transfer hickorymessage
discovery hickorymessage
platform hickoryplatform
payload hickorypayload
demo hickorydemoreport
experiment hickoryexperiment
LIST
# shellcheck disable=SC2086
go tool -modfile=tools/gen/go.mod go-jsonschema --tags json,yaml --capitalization ID --capitalization URL $args $files
# The generated code compiles a pattern again for each value that it checks. Its
# calls are replaced with calls of matchPattern in pattern.go, which compiles each
# pattern once.
sed -i -e '/^import "regexp"$/d' -e 's/regexp\.MatchString(/matchPattern(/' schema/hickoryid/id_generated.go
gofmt -w schema/*/*_generated.go
go run ./tools/generate
