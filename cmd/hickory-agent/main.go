// Command hickory-agent owns the flows of the upstream beside it.
package main

import (
	"context"
	"os"

	"hickoryworks/io/hickoryagent"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickorysettings"
)

func main() {
	hickoryprogram.Main(hickoryprogram.Command("hickory-agent", "own the flows of the upstream beside it", run))
}

func run(ctx context.Context, path string) error {
	fabric, err := hickoryprogram.NamesFabric(path)
	if err != nil {
		return err
	}
	if fabric {
		return runOnFabric(ctx, path)
	}
	return runEncapsulated(ctx, path)
}

// runEncapsulated runs behind a fabric that encapsulates packets.
func runEncapsulated(ctx context.Context, path string) error {
	var settings hickorysettings.Agent
	if err := hickoryprogram.ReadSettings(path, &settings); err != nil {
		return err
	}
	logger := hickorylog.New(os.Stderr, settings.Instance)
	agent, err := hickoryagent.New(settings, logger)
	if err != nil {
		return err
	}
	return hickoryprogram.Run(ctx, hickoryprogram.Daemon{
		Start: agent.Start,
		Drain: agent.Drain,
		Close: agent.Close,
	}, logger)
}
