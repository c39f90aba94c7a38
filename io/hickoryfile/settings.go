package hickoryfile

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/io/hickoryprogram"
	"hickoryworks/io/hickoryyaml"
)

// ReadSettings reads a settings file into a generated type. The error for a file that
// cannot be read or is invalid has the exit code hickoryprogram.ExitInvalid.
func ReadSettings(path string, target json.Unmarshaler) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return hickoryprogram.InvalidInput(errors.Wrap(err, "read settings"))
	}
	err = hickoryyaml.Decode(content, target)
	var invalid *hickoryyaml.InvalidError
	if errors.As(err, &invalid) {
		return cli.Exit("settings are invalid\n"+FormatProblems(path, invalid.Problems), hickoryprogram.ExitInvalid)
	}
	return errors.Wrapf(err, "read settings %s", path)
}

// FormatProblems formats problems as text: one line for each, which begins with the
// path of the file and the line number of the problem.
func FormatProblems(path string, problems []hickoryyaml.Problem) string {
	lines := make([]string, 0, len(problems))
	for _, problem := range problems {
		field := problem.Path
		if field == "" {
			field = "(top level)"
		}
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", path, problem.Line, field, problem.Reason))
	}
	return strings.Join(lines, "\n")
}
