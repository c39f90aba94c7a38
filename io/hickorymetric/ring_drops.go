package hickorymetric

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
)

// ringDropInterval is the time between two reads of the counters, the same as that
// between two updates of the page.
const ringDropInterval = reportInterval

// RingDrops exports the numbers of items that the rings of a program have dropped.
// It is not safe for concurrent use.
type RingDrops struct {
	scope tally.Scope
	rings []countedRing
	// newTicks returns a channel that delivers a value for each read, and a function
	// that stops it.
	newTicks func() (<-chan time.Time, func())
}

type countedRing struct {
	drops    func() uint64
	exported tally.Counter
	// lastDrops is the result of drops at the last read.
	lastDrops uint64
}

// RingDropsOption sets an option of a RingDrops at construction.
type RingDropsOption func(*RingDrops)

// WithTicks sets the function that starts the ticks at which the counters are read.
// The function returns the channel of the ticks and a function that stops them.
func WithTicks(newTicks func() (<-chan time.Time, func())) RingDropsOption {
	return func(r *RingDrops) {
		r.newTicks = newTicks
	}
}

// NewRingDrops returns a RingDrops without rings.
func NewRingDrops(scope tally.Scope, options ...RingDropsOption) *RingDrops {
	r := &RingDrops{
		scope: scope,
		newTicks: func() (<-chan time.Time, func()) {
			ticker := time.NewTicker(ringDropInterval)
			return ticker.C, ticker.Stop
		},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// Add adds a ring. The name is the value of its label; drops returns the number of
// items that the ring has dropped since the start.
func (r *RingDrops) Add(name string, drops func() uint64) {
	tagged := r.scope.Tagged(map[string]string{"ring": name})
	r.rings = append(r.rings, countedRing{drops: drops, exported: tagged.Counter("ring_drops")})
}

// Run exports the counters until the context ends, and then once more.
func (r *RingDrops) Run(ctx context.Context) error {
	ticks, stop := r.newTicks()
	defer stop()
	defer r.export()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks:
			r.export()
		}
	}
}

func (r *RingDrops) export() {
	for i := range r.rings {
		ring := &r.rings[i]
		drops := ring.drops()
		ring.exported.Inc(int64(drops - ring.lastDrops))
		ring.lastDrops = drops
	}
}
