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
	settings, err := readBalancer(path)
	if err != nil {
		return err
	}
	queue := hickorylog.NewQueue(ctx, os.Stdout)
	defer func() { _ = queue.Close() }() // nothing is left to log the error to
	logger := hickorylog.New(queue, settings.Instance)
	balancer, err := hickoryfabric.NewBalancer(settings, platform.Translation(), platform.OpenStore(settings.Store.Endpoint), logger)
	if err != nil {
		return err
	}
	return hickoryprogram.Run(ctx, hickoryprogram.Daemon{
		Start:   balancer.Start,
		Drain:   balancer.Drain,
		Close:   balancer.Close,
		Reload:  func() { balancer.Reload(readBalancer(path)) },
		Reloads: watcher.Items(),
	}, logger)
}

func readBalancer(path string) (hickorysettings.FabricBalancer, error) {
	var settings hickorysettings.FabricBalancer
	err := hickoryprogram.ReadFabricSettings(path, &settings)
	return settings, err
}
