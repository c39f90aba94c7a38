package hickorybalancer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// drainQuietTime is the time without packets after which a stop is safe, because
	// the fabric no longer sends packets to the balancer.
	drainQuietTime = time.Second
	// drainInterval is the time between two checks of the number of packets.
	drainInterval = 50 * time.Millisecond
	// defaultDrainTimeout applies when the settings contain no timeout, because they
	// were not read from a file.
	defaultDrainTimeout = 10 * time.Minute
)

// Drain returns when the fabric has sent no packets to the balancer for
// drainQuietTime; until then the duties keep forwarding. It returns an error when
// ctx or the timeout of the settings ends first.
func (b *Balancer) Drain(ctx context.Context) error {
	b.draining.Store(true)
	timeout := b.settings.DrainTimeout.Value()
	if timeout <= 0 {
		timeout = defaultDrainTimeout
	}
	deadline, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	initialCount := b.packetCount.Load()
	lastCount := initialCount
	quietSince := time.Now()
	for time.Since(quietSince) < drainQuietTime {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d packets arrived during the stop", lastCount-initialCount)
		case <-deadline.Done():
			return errors.Errorf("packets still arrive after %s (%d during the stop); no flow state is lost, since a balancer holds no flows", timeout, lastCount-initialCount)
		case <-ticker.C:
		}
		if count := b.packetCount.Load(); count != lastCount {
			lastCount = count
			quietSince = time.Now()
		}
	}
	return nil
}
