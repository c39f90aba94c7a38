package hickorystrict

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Decode decodes YAML into a generated type. It fails when the YAML has an unknown key,
// which the error names with its line, and at the first missing key or invalid value
// that the type's UnmarshalJSON finds.
func Decode(content []byte, target json.Unmarshaler) error {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	if err := decoder.Decode(target); err != nil {
		return errors.Wrap(err, "decode YAML")
	}
	var tree any
	if err := yaml.Unmarshal(content, &tree); err != nil {
		return errors.Wrap(err, "parse YAML")
	}
	text, err := json.Marshal(tree)
	if err != nil {
		return errors.Wrap(err, "convert YAML to JSON")
	}
	return errors.Wrap(target.UnmarshalJSON(text), "check values")
}
