//go:build !datagramonly

package main

import (
	"context"
	"os"

	"hickoryworks/io/hickoryagent"
	"hickoryworks/io/hickoryfile"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickorysettings"
)

// runEncapsulated runs the agent on the encapsulated fabric, which sends packets to
// balancers inside packets of its own.
func runEncapsulated(ctx context.Context, path string) error {
	var settings hickorysettings.Agent
	if err := hickoryfile.ReadSettings(path, &settings); err != nil {
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
