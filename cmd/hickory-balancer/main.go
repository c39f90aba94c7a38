// Command hickory-balancer forwards the packets that it receives from the fabric to
// agents.
package main

import (
	"context"

	"hickoryworks/io/hickoryprogram"
)

func main() {
	hickoryprogram.Main(hickoryprogram.Command("hickory-balancer", "send the packets of the fabric on to agents", run))
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
