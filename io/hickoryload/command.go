package hickoryload

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/io/hickoryfile"
	"hickoryworks/schema/hickoryexperiment"
)

// Command returns the command line of the load tool.
func Command() *cli.Command {
	return &cli.Command{
		Name:                  "hickory-load",
		Usage:                 "measure balancers and agents as processes on loopback",
		EnableShellCompletion: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "experiment", Usage: "read the experiment from `FILE`", Required: true},
			&cli.StringFlag{Name: "binaries", Usage: "measure the programs in `FOLDER`", Value: "bin"},
			&cli.StringFlag{Name: "compare", Usage: "measure the programs in `FOLDER` too, in turn with the others"},
			&cli.StringFlag{Name: "output", Usage: "write result.json and plots into `FOLDER`"},
		},
		Action: runCommand,
	}
}

func runCommand(ctx context.Context, command *cli.Command) error {
	var experiment hickoryexperiment.Experiment
	if err := hickoryfile.ReadSettings(command.String("experiment"), &experiment); err != nil {
		return err
	}
	builds := []Build{{Name: command.String("binaries"), Binaries: command.String("binaries")}}
	if other := command.String("compare"); other != "" {
		builds = append(builds, Build{Name: other, Binaries: other})
	}
	printProgress := func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) }
	printProgress(fmt.Sprintf("seed %d", experiment.Seed))
	result, err := Run(ctx, &experiment, builds, printProgress)
	if err != nil {
		return errors.Wrap(err, "run experiment")
	}
	if folder := command.String("output"); folder != "" {
		if err := writeFiles(folder, &result); err != nil {
			return err
		}
	}
	if err := WriteTable(os.Stdout, &result); err != nil {
		return err
	}
	return WriteSlopes(os.Stdout, &result)
}

func writeFiles(folder string, result *hickoryexperiment.Result) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create output folder")
	}
	content, err := json.MarshalIndent(result, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if err := os.WriteFile(filepath.Join(folder, "result.json"), content, 0o600); err != nil {
		return errors.Wrap(err, "write result")
	}
	return WritePlots(folder, result)
}
