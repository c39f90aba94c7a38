package hickoryagent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickorysettings"
)

const (
	// drainInterval is the time between two checks for open flows.
	drainInterval = 50 * time.Millisecond
	// relayQuietTime is the time without a relayed frame after which the
	// predecessor may stop. Each observer that still uses the predecessor's
	// endpoint probes it once a second.
	relayQuietTime = 3 * time.Second
	// defaultDrainTimeout applies to settings that were not read from a file.
	defaultDrainTimeout = 10 * time.Minute
)

// Drain refuses new flows and returns when the last open flow has ended. A
// predecessor that relays returns when no more frames arrive for the successor.
// The flows of a datagram server have no state between requests, so its agent
// waits for the last open request instead. Drain fails when the drain timeout of
// the settings has passed.
func (a *Agent) Drain(ctx context.Context) error {
	timeout := a.settings.DrainTimeout.Value()
	if timeout <= 0 {
		timeout = defaultDrainTimeout
	}
	deadline, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	a.draining.Store(true)
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	relayedFrames := a.handover.relayedFrames.Load()
	quietSince := time.Now()
	for {
		if count := a.handover.relayedFrames.Load(); count != relayedFrames {
			relayedFrames = count
			quietSince = time.Now()
		}
		if a.drained(time.Since(quietSince)) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d flows left", a.flows.Load())
		case <-deadline.Done():
			return errors.Errorf("%d flows left after %s", a.flows.Load(), timeout)
		case <-ticker.C:
		}
	}
}

// drained reports whether the agent can stop without interrupting a flow or a
// request. quiet is the time since the last relayed frame. The number of open
// flows is used only after the decide duty has begun to refuse new ones.
func (a *Agent) drained(quiet time.Duration) bool {
	if a.handover.relaying.Load() {
		return quiet >= relayQuietTime
	}
	return a.refusing.Load() && !a.busy()
}

// busy reports whether the upstream has open requests, if it is a datagram server,
// or else open flows.
func (a *Agent) busy() bool {
	if a.settings.Delivery == hickorysettings.DeliveryDatagram {
		return a.limits.Open() > 0
	}
	return a.flows.Load() > 0
}
