package hickorysocket

import (
	"context"
	"time"

	"hickoryworks/io/hickoryring"
)

// RenewInterval is the time for which one source port is used. It bounds how
// long a silent path to a peer that nobody probes from here can lose packets.
const RenewInterval = 20 * time.Second

// RenewSourcePort sends everything from a new source port from now on, but for the peers
// that have a path of their own. What arrives on it goes into the ring. The port
// before stays open until the next call, for answers under way.
func (s *Socket) RenewSourcePort(ctx context.Context, ring *hickoryring.FrameRing) error {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	fresh, err := s.openPath(ctx, ring)
	if err != nil {
		return err
	}
	s.retiring.close()
	s.retiring = s.sending.Swap(fresh)
	return nil
}

// RenewPeriodically renews the source port until the context ends.
func (s *Socket) RenewPeriodically(ctx context.Context, ring *hickoryring.FrameRing) error {
	ticker := time.NewTicker(RenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			if err := s.RenewSourcePort(ctx, ring); err != nil {
				return err
			}
		}
	}
}
