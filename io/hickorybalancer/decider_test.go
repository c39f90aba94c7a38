package hickorybalancer

import (
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickorymessage"
)

// newTestDecider returns a decider to which no lease has been granted, with one
// service in its ring.
func newTestDecider() *decider {
	clock := hickoryclock.New()
	d := &decider{
		clock:       clock,
		builder:     hickorytable.NewBuilder(clock.Now()),
		drops:       hickorymetric.NewDrops(tally.NoopScope),
		outgoing:    hickoryring.NewFrameRing(4, hickoryring.DropNewest),
		inputs:      inputs{services: hickoryring.NewServiceRing()},
		packetCount: &atomic.Uint64{},
	}
	d.init()
	d.inputs.services.Put(hickoryring.Services{{
		Name:      "clubroom",
		Number:    1,
		Addresses: []hickorymodel.ServiceAddress{{Socket: hickorymodel.NewSocketAddress(netip.MustParseAddrPort("10.1.0.1:443")), Protocol: hickorymodel.ProtocolTCP}},
		Upstreams: []hickorymodel.Upstream{{ID: "clubroom-0", Endpoint: hickorymodel.Endpoint{Address: [4]byte{127, 0, 0, 1}, Port: 6081}}},
	}})
	d.lease = &hickoryrelay.LeaseCell{}
	return d
}

// packetFrame returns a frame with the first packet of a flow, as the fabric sends it.
func packetFrame(t *testing.T) hickoryring.Frame {
	is := is.New(t)
	segment := hickorystandin.Segment{
		Source:      netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), 40000),
		Destination: netip.MustParseAddrPort("10.1.0.1:443"),
		SYN:         true,
	}
	inner, err := segment.Encode()
	is.NoErr(err)
	encoded, err := hickorygeneve.NewCodec().EncodePlain(1, inner)
	is.NoErr(err)
	return hickoryring.Frame{Bytes: append([]byte(nil), encoded...)}
}

// TestDeciderNeedsLease guards against a balancer that forwards packets without a
// valid lease: while its configuration is not fresh, or after a pause of the process
// in which the lease was not renewed.
func TestDeciderNeedsLease(t *testing.T) {
	cases := []struct {
		name  string
		lease func(now hickorymodel.Instant) hickoryconfig.Lease
		sent  bool
	}{
		{"none", func(hickorymodel.Instant) hickoryconfig.Lease { return hickoryconfig.Lease{} }, false},
		{"valid", func(now hickorymodel.Instant) hickoryconfig.Lease {
			return hickoryconfig.Lease{Until: now.Add(hickoryconfig.FreshWindow), GrantedAt: now}
		}, true},
		{"ended", func(now hickorymodel.Instant) hickoryconfig.Lease {
			return hickoryconfig.Lease{Until: now, GrantedAt: now}
		}, false},
		{"granted before a pause", func(now hickorymodel.Instant) hickoryconfig.Lease {
			return hickoryconfig.Lease{Until: now.Add(hickoryconfig.FreshWindow), GrantedAt: now.Add(-2 * hickoryconfig.PauseLimit)}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newTestDecider()
			d.lease.Store(c.lease(d.clock.Now()))
			reason, ok := d.handle(t.Context(), packetFrame(t))
			is.Equal(ok, c.sent)
			if !c.sent {
				is.Equal(reason, hickorymessage.DropReasonStaleTable)
			}
		})
	}
}

// TestDeciderAppliesServicesOfLease guards against a packet that is forwarded
// by the old table although the lease was granted for newer services, which are
// still in the ring.
func TestDeciderAppliesServicesOfLease(t *testing.T) {
	is := is.New(t)
	d := newTestDecider()
	now := d.clock.Now()
	d.lease.Store(hickoryconfig.Lease{Until: now.Add(hickoryconfig.FreshWindow), GrantedAt: now})
	_, ok := d.handle(t.Context(), packetFrame(t))
	is.True(ok)
	d.inputs.services.Put(hickoryring.Services{})
	reason, ok := d.handle(t.Context(), packetFrame(t))
	is.True(!ok)
	is.Equal(reason, hickorymessage.DropReasonUnknownAddress)
}

// TestDeciderPassesNewerGeneration guards against a decider that ignores the
// NewerGeneration message of an agent. The balancer would then get the newer section
// only when it next exchanges digests of its sections with another balancer.
func TestDeciderPassesNewerGeneration(t *testing.T) {
	is := is.New(t)
	d := newTestDecider()
	var got hickorymessage.NewerGeneration
	d.handleNewerGeneration = func(_ hickorymodel.Endpoint, message hickorymessage.NewerGeneration) { got = message }
	want := hickorymessage.NewerGeneration{Service: 1, Generation: 7}
	encoded, err := hickorygeneve.NewCodec().EncodeMessage(&hickorymessage.Datagram{NewerGeneration: &want})
	is.NoErr(err)
	d.handle(t.Context(), hickoryring.Frame{Bytes: encoded})
	is.Equal(got, want)
}
