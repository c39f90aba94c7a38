package hickoryprogram

import (
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"gopkg.in/yaml.v3"
)

// NamesFabric reports whether a settings file names a fabric, so that its keys
// are those of a datagram fabric. A file that is no YAML is left to ReadSettings,
// which reports its faults by line.
func NamesFabric(path string) (bool, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return false, cli.Exit(errors.Wrap(err, "read settings"), ExitInvalid)
	}
	var keys struct {
		Fabric any `yaml:"fabric"`
	}
	if err := yaml.Unmarshal(content, &keys); err != nil {
		return false, nil
	}
	return keys.Fabric != nil, nil
}
