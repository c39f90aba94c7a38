package hickoryflow_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickoryid"
)

const registerPeers = 20

// TestOwnerRegistersAtEachNewHome guards against dropped packets of a flow
// whose home changes twice within a short time. The owner, which is in no
// candidate list, must send the second home a redirect entry although it has
// sent one to the first home just before.
func TestOwnerRegistersAtEachNewHome(t *testing.T) {
	is := is.New(t)
	builder := hickorytable.NewBuilder(1)
	full := registerService(registerPeers + 1)
	key, homes := displacedKey(t, full)
	self := full.Upstreams[0]
	tracker := hickoryflow.NewTracker(self.Endpoint, self.ID, rand.New(rand.NewPCG(1, 1)))

	alone := registerService(1)
	now := hickorymodel.Instant(time.Second)
	tracker.SetService(alone, builder.Build(now, []hickorymodel.Service{alone}))
	packet := hickoryflow.Packet{Key: key, First: true, Payload: []byte{1}}
	packet.Service = alone.Number
	packet.Candidates[0] = hickorymodel.Candidate{Endpoint: self.Endpoint, State: hickorymodel.CandidateAccepting}
	tracker.Handle(now, &packet)
	is.Equal(tracker.Flows(), 1)

	// The first home is in a zone that goes out of service, so that the
	// candidate lists no longer contain it.
	full.Upstreams[slices.IndexFunc(full.Upstreams, func(u hickorymodel.Upstream) bool {
		return u.Endpoint == homes[0]
	})].Zone = "gone"
	reduced := full
	reduced.Upstreams = slices.DeleteFunc(slices.Clone(full.Upstreams), func(u hickorymodel.Upstream) bool {
		return u.Endpoint == homes[0]
	})
	reduced.ExcludedZones = []hickoryid.ZoneName{"gone"}
	for i, service := range []hickorymodel.Service{full, reduced} {
		service.Generation = hickorymodel.Generation(i + 2)
		tracker.SetService(service, builder.Build(now, []hickorymodel.Service{service}))
		registered := false
		for range 100 {
			now = now.Add(hickoryflow.TickInterval)
			for _, action := range tracker.Tick(now) {
				sent := action.Verb == hickoryflow.VerbSend && action.Datagram.RedirectEntry != nil
				registered = registered || sent && action.Target == homes[i]
			}
		}
		t.Logf("home %d: %s", i, homes[i])
		is.True(registered)
	}
}

// registerService returns a service whose first upstream owns the flow of the
// test.
func registerService(upstreams int) hickorymodel.Service {
	service := hickorymodel.Service{
		Name: "clubroom", Number: 1, Generation: 1, Slots: 6, Connections: 2000,
		RampTime: time.Second, OpeningTimeout: time.Hour,
		Addresses: []hickorymodel.ServiceAddress{{
			Socket:   hickorymodel.NewSocketAddress(netip.MustParseAddrPort("10.1.0.1:443")),
			Protocol: hickorymodel.ProtocolTCP,
		}},
	}
	for i := range upstreams {
		service.Upstreams = append(service.Upstreams, hickorymodel.Upstream{
			ID:       hickoryid.UpstreamID(fmt.Sprintf("clubroom-%02d", i)),
			Zone:     "here",
			Endpoint: hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, byte(i + 1)}, Port: 6081},
		})
	}
	return service
}

// displacedKey returns a flow whose candidate lists do not contain the first
// upstream, neither before nor after its home leaves, and the homes before and
// after.
func displacedKey(t *testing.T, service hickorymodel.Service) (hickorymodel.FlowKey, [2]hickorymodel.Endpoint) {
	t.Helper()
	table := hickorytable.NewBuilder(1).Build(1, []hickorymodel.Service{service})
	for port := range uint16(1000) {
		key := hickorymodel.FlowKey{
			Source:      hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), 10_000+port)),
			Destination: service.Addresses[0].Socket,
			Protocol:    hickorymodel.ProtocolTCP,
		}
		var choice hickorytable.Choice
		table.Choose(1, &key, &choice)
		if choice.Candidates.Index(service.Upstreams[0].Endpoint) >= 0 {
			continue
		}
		without := service
		without.Upstreams = slices.DeleteFunc(slices.Clone(service.Upstreams), func(u hickorymodel.Upstream) bool {
			return u.Endpoint == choice.Candidates[0].Endpoint
		})
		var after hickorytable.Choice
		hickorytable.NewBuilder(1).Build(1, []hickorymodel.Service{without}).Choose(1, &key, &after)
		if after.Candidates.Index(service.Upstreams[0].Endpoint) < 0 {
			return key, [2]hickorymodel.Endpoint{choice.Candidates[0].Endpoint, after.Candidates[0].Endpoint}
		}
	}
	t.Fatal("no flow found")
	return hickorymodel.FlowKey{}, [2]hickorymodel.Endpoint{}
}
