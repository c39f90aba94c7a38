package hickoryfabric

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
)

const (
	// drainInterval is the time between two checks of whether draining is done.
	drainInterval = 50 * time.Millisecond
	// unreadyDetectionTime is how long the fabric takes to detect that a balancer is
	// not ready: two checks, half a second apart, and some delay.
	unreadyDetectionTime = 1300 * time.Millisecond
	// quietPeriod is how long no packet of a caller must have arrived before a
	// balancer may stop.
	quietPeriod = 400 * time.Millisecond
	// answerQuietPeriod is how long the upstream must have sent no data before its agent
	// may stop. An answer of many packets is sent in windows, one round trip apart.
	answerQuietPeriod = 60 * time.Millisecond
)

// Drain makes the readiness check fail, so that the fabric sends packets to other
// balancers, and returns when no more packets arrive. Until then packets are
// forwarded. It returns an error when that takes longer than the drain timeout of
// the settings.
func (b *Balancer) Drain(ctx context.Context) error {
	b.draining.Store(true)
	timeout := b.settings.DrainTimeout.Value()
	begun := time.Now()
	quietSince := begun
	lastCount := b.callerPackets.Load()
	for {
		if err := sleep(ctx, drainInterval); err != nil {
			return errors.Wrap(err, "packets may still arrive")
		}
		if count := b.callerPackets.Load(); count != lastCount {
			lastCount = count
			quietSince = time.Now()
		}
		if time.Since(begun) >= unreadyDetectionTime && time.Since(quietSince) >= quietPeriod {
			return nil
		}
		if time.Since(begun) >= timeout {
			return errors.Errorf("packets still arrive after %s", timeout)
		}
	}
}

// Drain refuses new flows and waits until all requests are answered, and the answers
// sent, or the drain timeout of the settings is over. It does not wait for flows to end, since the
// upstream holds them beyond the end of the agent.
func (a *Agent) Drain(ctx context.Context) error {
	a.draining.Store(true)
	begun := time.Now()
	for {
		if err := sleep(ctx, drainInterval); err != nil {
			return errors.Wrapf(err, "%d requests are unanswered", a.busyFlows.Load())
		}
		if a.drained(a.clock.Now()) {
			return nil
		}
		if time.Since(begun) >= a.settings.DrainTimeout.Value() {
			return nil
		}
	}
}

// drained reports whether new flows are refused, all requests are answered and the
// upstream sends no more data.
func (a *Agent) drained(now hickorymodel.Instant) bool {
	answeredAt := hickorymodel.Instant(a.answeredAt.Load())
	return a.refusing.Load() && a.busyFlows.Load() == 0 && now.Sub(answeredAt) >= answerQuietPeriod
}
