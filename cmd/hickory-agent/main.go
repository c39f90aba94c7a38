// Command hickory-agent owns the flows of the upstream beside it.
package main

import (
	"context"

	"hickoryworks/io/hickoryprogram"
)

func main() {
	hickoryprogram.Main(hickoryprogram.Command("hickory-agent", "own the flows of the upstream beside it", run))
}

func run(ctx context.Context, path string) error {
	fabric, err := hickoryprogram.HasFabricKey(path)
	if err != nil {
		return err
	}
	if fabric {
		return runOnFabric(ctx, path)
	}
	return runEncapsulated(ctx, path)
}
