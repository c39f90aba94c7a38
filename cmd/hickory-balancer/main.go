// Command hickory-balancer sends the packets of the fabric on to agents.
package main

import (
	"context"

	"hickoryworks/io/hickoryprogram"
)

func main() {
	hickoryprogram.Main(hickoryprogram.Command("hickory-balancer", "send the packets of the fabric on to agents", run))
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
