package hickorybalancer

import (
	"context"
	"slices"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymember"
	"hickoryworks/io/hickoryring"
)

// TestBalancerExportsRingDrops guards against a ring of the balancer whose drops
// no counter shows.
func TestBalancerExportsRingDrops(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	b := &Balancer{
		scope:         scope,
		received:      hickoryring.NewFrameRing(1, hickoryring.DropNewest),
		outgoing:      hickoryring.NewFrameRing(1, hickoryring.DropNewest),
		detectorRings: newMembershipRings(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	for range 2 {
		b.received.Put(ctx, hickoryring.Frame{})
		b.outgoing.Put(ctx, hickoryring.Frame{})
	}
	for range viewsToSendCapacity + 1 {
		b.detectorRings.viewsToSend.Put(ctx, hickorymember.Action{})
	}
	cancel()
	is.Equal(b.ringDrops().Run(ctx), context.Canceled)
	want := map[string]int64{"received": 1, "outgoing": 1, "tells": 1}
	var names []string
	for _, counter := range scope.Snapshot().Counters() {
		name := counter.Tags()["ring"]
		names = append(names, name)
		is.Equal(counter.Value(), want[name])
	}
	slices.Sort(names)
	is.Equal(names, []string{"outgoing", "probeReplies", "probes", "received", "tells", "views"})
}
