package hickoryprogram

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"hickoryworks/io/hickorystrict"
)

// HasFabricKey reports whether a settings file has the key fabric. Such a file holds the
// settings of a daemon on a datagram fabric, any other file those of a daemon on an
// encapsulated fabric. For a file that is not YAML it returns false without an error,
// because the reader of the encapsulated settings reports the faults with their lines.
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

// ReadFabricSettings reads the settings file of a daemon on a datagram fabric into
// target. Its errors make Main exit with ExitInvalid.
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
