//go:build !datagramonly

package main

import (
	"context"
	"os"

	"hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickoryfile"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickorysettings"
)

// runEncapsulated runs the balancer on the encapsulated fabric, which sends packets to
// balancers inside packets of its own.
func runEncapsulated(ctx context.Context, path string) error {
	var settings hickorysettings.Balancer
	if err := hickoryfile.ReadSettings(path, &settings); err != nil {
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
