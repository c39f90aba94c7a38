package hickorystrict

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Decode reads YAML into a generated type. It fails at the first unknown key,
// with its line, and at the first value that the type's own checks refuse.
func Decode(content []byte, target json.Unmarshaler) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(target); err != nil {
		return errors.Wrap(err, "keys")
	}
	var tree any
	if err := yaml.Unmarshal(content, &tree); err != nil {
		return errors.Wrap(err, "parse")
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return errors.Wrap(err, "convert YAML to JSON")
	}
	return errors.Wrap(target.UnmarshalJSON(text), "values")
}
