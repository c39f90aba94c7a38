// Command hickory-balancer sends the packets of the fabric on to agents.
package main

import (
	"context"
	"os"

	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickorysettings"
)

func main() {
	hickoryprogram.Main(hickoryprogram.Command("hickory-balancer", "send the packets of the fabric on to agents", run))
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
	var settings hickorysettings.Balancer
	if err := hickoryprogram.ReadSettings(path, &settings); err != nil {
		return err
	}
	logger := hickorylog.New(os.Stderr, settings.Instance)
	balancer, err := hickorybalancer.New(settings, logger)
	if err != nil {
		return err
	}
	return hickoryprogram.Run(ctx, hickoryprogram.Daemon{
		Start: balancer.Start,
		Drain: balancer.Drain,
		Close: balancer.Close,
	}, logger)
}
