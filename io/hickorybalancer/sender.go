package hickorybalancer

import (
	"context"

	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickorymessage"
)

// sender sends packets to agents. It checks the lease again for each packet, since
// the process may have been paused while the packet was in the ring.
type sender struct {
	clock  *hickoryclock.Clock
	lease  *hickoryrelay.LeaseCell
	drops  *hickorymetric.Drops
	socket *hickorysocket.Socket
}

func (s *sender) run(ctx context.Context, outgoing *hickoryring.FrameRing) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-outgoing.Items():
			if !s.lease.Allows(s.clock.Now()) {
				s.drops.Add(hickorymessage.DropReasonStaleTable)
				continue
			}
			s.socket.Send(frame)
		}
	}
}
