package hickoryprogram

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of all programs.
const (
	ExitFailure = 1
	// ExitInvalid stands for a settings file, a document or an argument that is refused.
	ExitInvalid = 2
)

const settingsFlag = "settings"

// Command returns the command line of a daemon, which takes one settings file.
func Command(name, usage string, run func(ctx context.Context, path string) error) *cli.Command {
	return &cli.Command{
		Name:                  name,
		Usage:                 usage,
		EnableShellCompletion: true,
		ExitErrHandler:        NoExitErrHandler,
		Flags: []cli.Flag{&cli.StringFlag{
			Name:     settingsFlag,
			Aliases:  []string{"s"},
			Usage:    "read settings from `FILE`",
			Required: true,
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return run(ctx, command.String(settingsFlag))
		},
	}
}

// InvalidInput returns an error for a file or an argument that is refused. The command
// line's library would print the places in the code at which err arose.
func InvalidInput(err error) error {
	return cli.Exit(err.Error(), ExitInvalid)
}

// NoExitErrHandler leaves errors to Main, which names the program.
func NoExitErrHandler(context.Context, *cli.Command, error) {}

// Main runs a command line and exits with its code.
func Main(command *cli.Command) {
	err := command.Run(context.Background(), os.Args)
	if err == nil {
		return
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", command.Name, err)
	var coder cli.ExitCoder
	if errors.As(err, &coder) {
		os.Exit(coder.ExitCode())
	}
	os.Exit(ExitFailure)
}
