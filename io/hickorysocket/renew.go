package hickorysocket

import (
	"context"
	"time"

	"hickoryworks/io/hickoryring"
)

// RenewInterval is the time between two changes of the source port. It limits how long
// packets to a peer that this process does not probe can be lost on a path that
// silently drops them.
const RenewInterval = 20 * time.Second

// RenewSourcePort opens a new default path, from which all frames are sent from now
// on, except those for peers with a kept path. Datagrams received on it are put into
// the ring. The previous default path stays open until the next call, for answers
// that are still on their way to it.
func (s *Socket) RenewSourcePort(ctx context.Context, ring *hickoryring.FrameRing) error {
	s.pathMutex.Lock()
	defer s.pathMutex.Unlock()
	renewedPath, err := s.openPath(ctx, ring)
	if err != nil {
		return err
	}
	s.previousPath.close()
	s.previousPath = s.defaultPath.Swap(renewedPath)
	return nil
}

// RenewPeriodically calls RenewSourcePort every RenewInterval until the context ends
// or a call fails.
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
