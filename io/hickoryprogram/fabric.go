package hickoryprogram

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"hickoryworks/io/hickorystrict"
)

// HasFabricKey reports whether a settings file names a fabric, so that its keys
// are those of a datagram fabric. A file that is no YAML is left to the reader of other
// settings, which reports its faults by line.
func HasFabricKey(path string) (bool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return false, InvalidInput(errors.Wrap(err, "read settings"))
	}
	var keys struct {
		Fabric any `yaml:"fabric"`
	}
	if err := yaml.Unmarshal(content, &keys); err != nil {
		return false, nil
	}
	return keys.Fabric != nil, nil
}

// ReadFabricSettings reads the settings of a daemon on a datagram fabric.
func ReadFabricSettings(path string, target json.Unmarshaler) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return InvalidInput(errors.Wrap(err, "read settings"))
	}
	if err := hickorystrict.Decode(content, target); err != nil {
		return InvalidInput(errors.Wrapf(err, "settings %s are invalid", path))
	}
	return nil
}
