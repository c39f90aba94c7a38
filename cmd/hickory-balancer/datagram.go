package main

import (
	"context"
	"os"

	"hickoryworks/io/hickoryfabric"
	_ "hickoryworks/io/hickoryhangup" // ignores SIGHUP until WatchSettings handles it
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/platform"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickorysettings"
)

// runDatagram runs the balancer on a datagram fabric. It reads the settings again at SIGHUP
// and when the file has changed.
func runDatagram(ctx context.Context, path string) error {
	watcher := hickoryprogram.WatchSettings(ctx, path)
	defer func() { _ = watcher.Close() }() // Close returns no error
	settings, err := readSettings(path)
	if err != nil {
		return err
	}
	queue := hickorylog.NewQueue(ctx, os.Stdout)
	defer func() { _ = queue.Close() }() // the log itself failed, so the error cannot be logged
	logger := hickorylog.New(queue, settings.Instance)
	logger.LogStartStep(hickoryevent.SettingsRead, nil)
	balancer, err := hickoryfabric.NewBalancer(settings, platform.Translation(), platform.OpenStore(settings.Store.Endpoint), logger)
	if err != nil {
		return err
	}
	logger.LogStartStep(hickoryevent.SocketsOpened, nil)
	return hickoryprogram.Run(ctx, hickoryprogram.Daemon{
		Start:   balancer.Start,
		Drain:   balancer.Drain,
		Close:   balancer.Close,
		Reload:  func() { balancer.Reload(readSettings(path)) },
		Reloads: watcher.Items(),
	}, logger)
}

func readSettings(path string) (hickorysettings.FabricBalancer, error) {
	var settings hickorysettings.FabricBalancer
	err := hickoryprogram.ReadFabricSettings(path, &settings)
	return settings, err
}
