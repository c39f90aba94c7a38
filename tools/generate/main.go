// Command generate writes the Go code and the pages that the generator for JSON
// Schema does not write: the binary layouts of the Geneve option and of the frames of
// a datagram fabric, the catalogue of log events, a package with the texts of the
// JSON Schema files, and the reference pages of the document and the settings.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"go/format"
	"os"
	"path/filepath"
	"text/template"

	"github.com/pkg/errors"
)

const (
	generatedFileMode   = 0o644
	generatedFolderMode = 0o755
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	if err := generateLayouts("schema/option.json", "schema/hickoryoption/option_generated.go"); err != nil {
		return err
	}
	if err := generateLayouts("schema/frame.json", "schema/hickoryframe/frame_generated.go"); err != nil {
		return err
	}
	if err := generateSources("schema/*.schema.json", "schema/hickoryschema/schema_generated.go"); err != nil {
		return err
	}
	if err := generateReference("The operators' document", "schema/document.schema.json", "schema/id.schema.json", "docs/document-reference.md"); err != nil {
		return err
	}
	if err := generateReference("Settings of the daemons", "schema/settings.schema.json", "schema/id.schema.json", "docs/settings-reference.md"); err != nil {
		return err
	}
	return generateEvents("schema/event.json", "schema/hickoryevent/event_generated.go", "docs/log-catalogue.md")
}

// readJSON decodes a JSON file into target; a key that target does not have is an
// error.
func readJSON(path string, target any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read schema")
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	return errors.Wrapf(decoder.Decode(target), "decode schema %s", path)
}

// readSchema decodes a JSON Schema file; it ignores the keywords that jsonSchema does
// not have.
func readSchema(path string, target *jsonSchema) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read schema")
	}
	return errors.Wrapf(json.Unmarshal(content, target), "decode schema %s", path)
}

// writeGo executes a template and writes the result as formatted Go code.
func writeGo(path string, source *template.Template, data any) error {
	var text bytes.Buffer
	if err := source.Execute(&text, data); err != nil {
		return errors.Wrapf(err, "execute template for %s", path)
	}
	formatted, err := format.Source(text.Bytes())
	if err != nil {
		return errors.Wrapf(err, "format %s", path)
	}
	return writeFile(path, formatted)
}

// writeFile writes a file and creates its folder if it does not exist.
func writeFile(path string, content []byte) error {
	if err := os.MkdirAll(filepath.Dir(path), generatedFolderMode); err != nil {
		return errors.Wrapf(err, "create folder of %s", path)
	}
	return errors.Wrapf(os.WriteFile(path, content, generatedFileMode), "write %s", path)
}
