package main

import (
	"context"
	"os"

	"hickoryworks/io/hickoryfabric"
	_ "hickoryworks/io/hickoryhangup"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/platform"
	"hickoryworks/schema/hickorysettings"
)

// runOnFabric runs on a datagram fabric.
func runOnFabric(ctx context.Context, path string) error {
	watcher := hickoryprogram.WatchSettings(ctx, path)
	defer func() { _ = watcher.Close() }() // it ends without an error
	settings, err := readAgent(path)
	if err != nil {
		return err
	}
	queue := hickorylog.NewQueue(ctx, os.Stdout)
	defer func() { _ = queue.Close() }() // nothing is left to log the error to
	logger := hickorylog.New(queue, settings.Instance)
	agent, err := hickoryfabric.NewAgent(settings, platform.Translation(), logger)
	if err != nil {
		return err
	}
	return hickoryprogram.Run(ctx, hickoryprogram.Daemon{
		Start:   agent.Start,
		Drain:   agent.Drain,
		Close:   agent.Close,
		Reload:  func() { agent.Reload(readAgent(path)) },
		Reloads: watcher.Items(),
	}, logger)
}

func readAgent(path string) (hickorysettings.FabricAgent, error) {
	var settings hickorysettings.FabricAgent
	err := hickoryprogram.ReadFabricSettings(path, &settings)
	return settings, err
}
