// Command hickory-agent runs on the host of an upstream and owns the flows of that
// upstream: it receives their packets and delivers them to the upstream.
package main

import (
	"context"

	"hickoryworks/io/hickoryprogram"
)

func main() {
	hickoryprogram.Main(hickoryprogram.Command("hickory-agent", "own the flows of the upstream beside it", run))
}

func run(ctx context.Context, path string) error {
	isDatagram, err := hickoryprogram.HasFabricKey(path)
	if err != nil {
		return err
	}
	if isDatagram {
		return runDatagram(ctx, path)
	}
	return runEncapsulated(ctx, path)
}
