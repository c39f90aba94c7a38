package hickoryctl

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickoryschema"
)

const schemaSuffix = ".schema.json"

func (t *Tool) schemaCommand() *cli.Command {
	return &cli.Command{
		Name:      "schema",
		Usage:     "print a JSON Schema, or the names of all of them",
		ArgsUsage: "[NAME]",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() == 0 {
				for _, name := range slices.Sorted(maps.Keys(hickoryschema.Sources)) {
					printf(t.out, "%s\n", strings.TrimSuffix(name, schemaSuffix))
				}
				return nil
			}
			name := command.Args().First()
			source, ok := hickoryschema.Sources[name+schemaSuffix]
			if !ok {
				return hickoryprogram.InvalidInput(errors.Errorf("there is no schema %q", name))
			}
			printf(t.out, "%s", source)
			return nil
		},
	}
}
