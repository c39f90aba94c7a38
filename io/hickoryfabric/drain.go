package hickoryfabric

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// drainInterval is the time between two looks at what is left.
	drainInterval = 50 * time.Millisecond
	// unreadyTime is how long the fabric takes to see that a balancer is not
	// ready: two checks, half a second apart, and some delay.
	unreadyTime = 1300 * time.Millisecond
	// quietTime is how long no packet may arrive before a balancer may stop.
	quietTime = 400 * time.Millisecond
)

// Drain takes the balancer out of the fabric and sends packets on until none
// arrives any more. It fails when that takes longer than the settings allow.
func (b *Balancer) Drain(ctx context.Context) error {
	b.draining.Store(true)
	timeout := b.settings.DrainTimeout.Value()
	begun := time.Now()
	quietSince := begun
	last := b.packets.Load()
	for {
		if err := pause(ctx, drainInterval); err != nil {
			return errors.Wrap(err, "packets may still arrive")
		}
		if count := b.packets.Load(); count != last {
			last = count
			quietSince = time.Now()
		}
		if time.Since(begun) >= unreadyTime && time.Since(quietSince) >= quietTime {
			return nil
		}
		if time.Since(begun) >= timeout {
			return errors.Errorf("packets still arrive after %s", timeout)
		}
	}
}

// Drain refuses new flows and waits until no request is unanswered, or until
// the time of the settings is up: the flows themselves outlive the agent, since
// the upstream holds them.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	begun := time.Now()
	for {
		if err := pause(ctx, drainInterval); err != nil {
			return errors.Wrapf(err, "%d requests left", a.busy.Load())
		}
		if a.refusing.Load() && a.busy.Load() == 0 {
			return nil
		}
		if time.Since(begun) >= a.settings.DrainTimeout.Value() {
			return nil
		}
	}
}
