package hickoryagent

import (
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickorysettings"
)

// newTestDecider returns a decider of an agent of clubroom to which no lease has been
// granted.
func newTestDecider() *decider {
	clock := hickoryclock.New()
	d := &decider{
		settings:    hickorysettings.Agent{Service: "clubroom", Upstream: "clubroom-0"},
		clock:       clock,
		random:      rand.New(rand.NewPCG(1, 2)),
		logger:      hickorylog.New(io.Discard, "agent"),
		ownEndpoint: hickorymodel.Endpoint{Address: [4]byte{127, 0, 0, 1}, Port: 6081},
		builder:     hickorytable.NewBuilder(clock.Now()),
		drops:       hickorymetric.NewDrops(tally.NoopScope),
		outgoing:    hickoryring.NewFrameRing(4, hickoryring.DropNewest),
		draining:    &atomic.Bool{},
		refusing:    &atomic.Bool{},
		flows:       &atomic.Int64{},
		handover:    &handover{},
		limits:      hickoryring.NewLimitRing(),
		scope:       tally.NoopScope,
		lease:       &hickoryrelay.LeaseCell{},
		services:    hickoryring.NewServiceRing(),
	}
	d.init()
	return d
}

// clubroomOf returns the service in a generation.
func clubroomOf(generation hickorymodel.Generation) hickoryring.Services {
	return hickoryring.Services{{
		Name: "clubroom", Number: 1, Generation: generation,
		Upstreams: []hickorymodel.Upstream{{ID: "clubroom-0", Endpoint: hickorymodel.Endpoint{Address: [4]byte{127, 0, 0, 1}, Port: 6081}}},
	}}
}

// TestDeciderAppliesServicesOfLease guards against a packet that is forwarded by an old
// service, for instance into a zone that is out of service, although the lease was
// granted for a newer one, which is still in the ring.
func TestDeciderAppliesServicesOfLease(t *testing.T) {
	is := is.New(t)
	d := newTestDecider()
	grant := func() {
		now := d.clock.Now()
		d.lease.Store(hickoryconfig.Lease{Until: now.Add(hickoryconfig.FreshWindow), GrantedAt: now})
	}
	forward := func() hickorymessage.DropReason {
		reason, _ := d.performOne(t.Context(), &hickoryflow.Action{Verb: hickoryflow.VerbForward, Packet: &hickoryflow.Packet{}})
		return reason
	}
	d.services.Put(clubroomOf(1))
	d.handle(t.Context(), hickoryring.Frame{Bytes: []byte("no frame")})
	is.Equal(d.service.Generation, hickorymodel.Generation(1))
	d.services.Put(clubroomOf(2))
	grant() // for generation 2
	is.Equal(forward(), hickorymessage.DropReasonStaleTable)
	d.tick(t.Context())
	is.Equal(d.service.Generation, hickorymodel.Generation(2))
	is.True(forward() != hickorymessage.DropReasonStaleTable)
}
