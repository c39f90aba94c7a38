package hickoryyaml

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Document is one of the YAML documents of a file, which are separated by "---".
type Document struct {
	root yaml.Node
}

// Documents parses all documents of a file. For a syntax error it returns an
// *InvalidError. The lines of problems are counted from the start of the file.
func Documents(content []byte) ([]*Document, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	var documents []*Document
	for {
		document := &Document{}
		err := decoder.Decode(&document.root)
		if errors.Is(err, io.EOF) {
			return documents, nil
		}
		if err != nil {
			return nil, syntaxError(err)
		}
		documents = append(documents, document)
	}
}

// Decode decodes the document into a value of a generated type. Its errors are those of
// the function Decode.
func (d *Document) Decode(target json.Unmarshaler) error {
	return decodeNode(&d.root, target)
}

// Line returns the line of the key or item at a path such as services[0].zone. For a
// path that the document does not contain, it returns the line of the nearest key or
// item above it.
func (d *Document) Line(path string) int {
	_, line := findNodeAndLine(&d.root, splitPath(path))
	return line
}
