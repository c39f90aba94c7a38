package hickorymetric_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryring"
)

// TestRingDrops guards against drops that are not exported, that each read counts
// again, or that occur after the last tick and are left out when the program stops.
func TestRingDrops(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	ticks := make(chan time.Time)
	rings := hickorymetric.NewRingDrops(scope, hickorymetric.WithTicks(func() (<-chan time.Time, func()) {
		return ticks, func() {}
	}))
	full, quiet := hickoryring.NewFrameRing(1, hickoryring.DropNewest), hickoryring.NewFrameRing(1, hickoryring.DropNewest)
	rings.Add("full", full.Drops)
	rings.Add("quiet", quiet.Drops)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- rings.Run(ctx) }(ctx)
	for range 4 { // three of four do not fit
		full.Put(ctx, hickoryring.Frame{})
	}
	for range 3 {
		ticks <- time.Time{}
	}
	full.Put(ctx, hickoryring.Frame{})
	cancel()
	is.Equal(<-ended, context.Canceled)
	counters := scope.Snapshot().Counters()
	is.Equal(counters["ring_drops+ring=full"].Value(), int64(4))
	is.Equal(counters["ring_drops+ring=quiet"].Value(), int64(0))
}
