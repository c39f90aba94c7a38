// Package hickoryyaml decodes YAML into the types that are generated from the JSON
// schemas. It checks the whole text against the schema and reports all faults, each with
// its line.
package hickoryyaml

import (
	"encoding/json"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Decode decodes YAML into a value of a generated type. For a text that is not YAML or
// does not match the type's schema, it returns an *InvalidError with all problems.
func Decode(content []byte, target json.Unmarshaler) error {
	var root yaml.Node
	if err := yaml.Unmarshal(content, &root); err != nil {
		return syntaxError(err)
	}
	return decodeNode(&root, target)
}

// decodeNode validates a parsed text and decodes it by way of JSON, because the
// generated types fill in their defaults in UnmarshalJSON.
func decodeNode(root *yaml.Node, target json.Unmarshaler) error {
	var tree any
	if err := root.Decode(&tree); err != nil {
		return syntaxError(err)
	}
	problems, err := validate(target, root, tree)
	if err != nil {
		return err
	}
	if len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return errors.Wrap(err, "convert YAML to JSON")
	}
	return errors.Wrap(target.UnmarshalJSON(text), "decode")
}
