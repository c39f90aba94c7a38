package hickorysteering_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
)

const (
	agentPort    = 7000
	balancerPort = 7100
	// start is the time of the first event of each test.
	start = hickorymodel.Instant(time.Hour)
)

var clubroom = hickorydirectory.HashService("clubroom")

// fixture calls one balancer, whose view has upstreams in zones a and b, and
// collects its decisions.
type fixture struct {
	is        *is.I
	balancer  *hickorysteering.Balancer
	decisions []hickorysteering.Decision
	now       hickorymodel.Instant
	view      *hickorydirectory.View
}

// newFixture returns a balancer of zone a. Its view has one upstream for each of
// the given zones, and their agents have reported.
func newFixture(t *testing.T, zones ...hickoryid.ZoneName) *fixture {
	f := &fixture{is: is.New(t), now: start}
	f.balancer = hickorysteering.NewBalancer("a", agentPort, rand.New(rand.NewPCG(1, 2)), func(d *hickorysteering.Decision) {
		f.decisions = append(f.decisions, *d)
	})
	f.view = &hickorydirectory.View{
		Version:       1,
		StateComplete: true,
		IdleTimeout:   15 * time.Second,
		Routes: map[hickorymodel.SocketAddress]*hickorydirectory.Route{
			service: {Name: "live", WeightSum: 1, Targets: []hickorydirectory.Target{{Service: clubroom, Weight: 1}}},
		},
	}
	for i, zone := range zones {
		f.view.Upstreams = append(f.view.Upstreams, hickorydirectory.Upstream{
			ID: hickoryid.UpstreamID(fmt.Sprintf("u-%d", i)), Service: clubroom, Zone: zone,
			Endpoint:  hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, byte(i + 1)}, Port: 8000},
			Slots:     2,
			Accepting: true,
		})
	}
	f.balancer.SetView(f.now, f.view)
	f.now = f.now.Add(time.Second)
	f.confirm()
	for i := range zones {
		f.report(agent(i), hickorysteering.StateAccepting)
	}
	return f
}

// confirm confirms that the view has all changes published until now, and returns the
// number of resets to the caller that follow.
func (f *fixture) confirm() int {
	return resets(f.balancer.Confirm(f.now, f.now))
}

var (
	service = socketAddress("198.51.100.1:443")
	caller  = socketAddress("192.0.2.7:40001")
	flow    = hickorymodel.FlowKey{Source: caller, Destination: service, Protocol: hickorymodel.ProtocolTCP}
)

func socketAddress(text string) hickorymodel.SocketAddress {
	return hickorymodel.NewSocketAddress(netip.MustParseAddrPort(text))
}

// agent returns the data socket of the agent beside an upstream of the fixture.
func agent(i int) hickorymodel.Endpoint {
	return hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, byte(i + 1)}, Port: agentPort}
}

func (f *fixture) report(from hickorymodel.Endpoint, state hickorysteering.State, addresses ...hickoryframe.Address) {
	f.balancer.HandleReport(f.now, from, &hickoryframe.Header{Service: uint32(clubroom)}, &hickoryframe.Report{State: uint8(state)}, addresses)
}

// first returns a first packet or a copy of it.
func first(copies uint32) *hickorysteering.Packet {
	return &hickorysteering.Packet{Flow: flow, First: true, Copy: copies, Sequence: 100, Bytes: []byte("first")}
}

// data returns a packet of an open flow, with 10 bytes of a request.
func data() *hickorysteering.Packet {
	return &hickorysteering.Packet{Flow: flow, Sequence: 101, Acknowledged: 500, Data: 10, Bytes: []byte("data")}
}

// targets returns the receivers of packets and queries among actions.
func targets(actions []hickorysteering.Action) []hickorymodel.Endpoint {
	endpoints := []hickorymodel.Endpoint{}
	for _, action := range actions {
		query := action.Verb == hickorysteering.VerbQuery
		packet := action.Verb == hickorysteering.VerbFrame && hickorysteering.Kind(action.Header.Kind) != hickorysteering.KindHello
		if query || packet {
			endpoints = append(endpoints, action.Target)
		}
	}
	return endpoints
}

// payloads counts the frames that carry a packet.
func payloads(actions []hickorysteering.Action) int {
	count := 0
	for _, action := range actions {
		if action.Verb == hickorysteering.VerbFrame && len(action.Payload) > 0 {
			count++
		}
	}
	return count
}

// asked returns the receivers of packets and queries among actions, sorted.
func asked(actions []hickorysteering.Action) []hickorymodel.Endpoint {
	return slices.SortedFunc(slices.Values(targets(actions)), hickorymodel.Endpoint.Compare)
}

// resets counts the resets to the caller.
func resets(actions []hickorysteering.Action) int {
	count := 0
	for _, action := range actions {
		if action.Verb == hickorysteering.VerbReset {
			count++
		}
	}
	return count
}

// lastStep returns the step of the newest decision.
func (f *fixture) lastStep() hickorysteering.Step {
	if len(f.decisions) == 0 {
		return ""
	}
	return f.decisions[len(f.decisions)-1].Step
}
