// Command hickory-standin runs stand-ins (test doubles) for the fabric, the platform,
// upstreams and callers.
package main

import (
	"context"
	"os"
	"path/filepath"

	"hickoryworks/io/hickoryfile"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickorysettings"
)

func main() {
	hickoryprogram.Main(hickoryprogram.Command("hickory-standin", "play the fabric, the platform, upstreams and callers", run))
}

func run(ctx context.Context, path string) error {
	var settings hickorysettings.Standin
	if err := hickoryfile.ReadSettings(path, &settings); err != nil {
		return err
	}
	logger := hickorylog.New(os.Stderr, settings.Instance)
	program, err := hickorystandin.NewProgram(settings, filepath.Dir(path), logger)
	if err != nil {
		return err
	}
	return hickoryprogram.Run(ctx, hickoryprogram.Daemon{
		Start: program.Start,
		Drain: program.Drain,
		Close: program.Close,
	}, logger)
}
