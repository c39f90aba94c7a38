package hickorydemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickorydemoreport"
)

const (
	// timeLimit aborts a run that hangs, so that no run takes longer than 60 s.
	timeLimit  = 58 * time.Second
	outputText = "text"
	outputJSON = "json"
)

// Command returns the command line of the demo.
func Command() *cli.Command {
	return &cli.Command{
		Name:                  "hickory-demo",
		Usage:                 "run all roles in one process, change things under load and show what callers saw",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "profile", Value: "pagebound", Usage: "size of the platform: pagebound or arboleda"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of all random choices (default: a random one)"},
			&cli.IntFlag{Name: "flows", Usage: "number of long-lived flows (default: 2200)"},
			&cli.StringFlag{Name: "output", Value: outputText, Usage: "form of the result: text or json"},
			&cli.StringFlag{Name: "log", Usage: "write the log events of all roles to `FILE`"},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, command *cli.Command) error {
	options, err := readOptions(command)
	if err != nil {
		return hickoryprogram.InvalidInput(err)
	}
	logger, closeLog, err := openLog(command.String("log"))
	if err != nil {
		return hickoryprogram.InvalidInput(err)
	}
	defer closeLog()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	printProgress := func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) }
	printProgress(fmt.Sprintf("profile %s, seed %d", options.Profile.Name, options.Seed))
	report, err := Run(ctx, options, logger, printProgress)
	if err != nil {
		return errors.Wrap(err, "run demo")
	}
	if err := write(os.Stdout, &report, command.String("output")); err != nil {
		return err
	}
	if !report.Holds {
		return errors.New("a guarantee does not hold")
	}
	return nil
}

func readOptions(command *cli.Command) (Options, error) {
	output := command.String("output")
	if output != outputText && output != outputJSON {
		return Options{}, errors.Errorf("output %q is neither text nor json", output)
	}
	seed := command.Uint64("seed")
	if !command.IsSet("seed") {
		seed = uint64(rand.Uint32())
	}
	profile, err := ProfileByName(command.String("profile"))
	if err != nil {
		return Options{}, err
	}
	options := DefaultOptions(profile, seed)
	if command.IsSet("flows") {
		options.Flows = command.Int("flows")
	}
	if options.Flows < profile.hosts() {
		return Options{}, errors.Errorf("%d flows are fewer than the %d hosts", options.Flows, profile.hosts())
	}
	return options, nil
}

func openLog(path string) (*hickorylog.Logger, func(), error) {
	if path == "" {
		return hickorylog.New(io.Discard, "demo"), func() {}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "create log file")
	}
	return hickorylog.New(file, "demo"), func() { _ = file.Close() }, nil
}

func write(out io.Writer, report *hickorydemoreport.Report, form string) error {
	if form == outputText {
		return WriteTable(out, report)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(report), "write report")
}
