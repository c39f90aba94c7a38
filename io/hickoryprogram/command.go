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
	// ExitFailure is the code for all other errors.
	ExitFailure = 1
	// ExitInvalid is the code for an invalid settings file, document or argument.
	ExitInvalid = 2
)

const settingsFlag = "settings"

// Command returns the command line of a daemon. Its only flag is the path of the
// settings file, which it passes to run.
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

// InvalidInput returns an error with the text of err that makes Main exit with
// ExitInvalid. It drops the stack trace of err, which the cli library would print.
func InvalidInput(err error) error {
	return cli.Exit(err.Error(), ExitInvalid)
}

// NoExitErrHandler is an ExitErrHandler that does nothing. The default handler of the
// cli library prints the error and ends the process; with this one the error is returned
// to Main, which prints it after the name of the program.
func NoExitErrHandler(context.Context, *cli.Command, error) {}

// Main runs a command line with the arguments of the process. On an error it prints the
// error and exits with the error's exit code, or with ExitFailure if it has none.
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
