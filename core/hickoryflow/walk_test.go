package hickoryflow_test

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// TestWalkReachesSuspectedOwner guards the flows of an upstream that is ejected
// by mistake. A walk that leaves out suspected candidates would drop their
// packets.
func TestWalkReachesSuspectedOwner(t *testing.T) {
	is := is.New(t)
	service := testService()
	list := hickorymodel.CandidateList{
		{Endpoint: testEndpoint(1), State: hickorymodel.CandidateAccepting},
		{Endpoint: testEndpoint(2), State: hickorymodel.CandidateSuspected},
		{Endpoint: testEndpoint(3), State: hickorymodel.CandidateOwnerOnly},
	}
	p := &hickoryflow.Packet{Header: hickoryflow.Header{Service: 1, Generation: 1, Candidates: list}, Key: testKey(1000)}
	for _, hop := range []struct{ at, want byte }{{1, 3}, {3, 2}} {
		tracker := hickoryflow.NewTracker(testEndpoint(hop.at), "a", rand.New(rand.NewPCG(1, 1)))
		tracker.SetService(service, nil)
		actions := tracker.Handle(1, p)
		is.Equal(actions[0].Verb, hickoryflow.VerbForward)
		is.Equal(actions[0].Target, testEndpoint(hop.want))
	}
	tracker := hickoryflow.NewTracker(testEndpoint(2), "b", rand.New(rand.NewPCG(1, 1)))
	tracker.SetService(service, nil)
	is.Equal(tracker.Handle(1, p)[0].Reason, hickorymessage.DropReasonUnknownFlow) // the end of the walk
}

func testEndpoint(last byte) hickorymodel.Endpoint {
	return hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, last}, Port: 6081}
}

func testAddress(last byte, port uint16) hickorymodel.SocketAddress {
	address := hickorymodel.SocketAddress{Port: port}
	copy(address.Address[10:], []byte{0xff, 0xff, 10, 1, 0, last})
	return address
}

func testKey(port uint16) hickorymodel.FlowKey {
	return hickorymodel.FlowKey{Source: testAddress(9, port), Destination: testAddress(1, 443), Protocol: hickorymodel.ProtocolTCP}
}

// testService has the upstreams a, b and c behind the agents 1, 2 and 3.
func testService() hickorymodel.Service {
	return hickorymodel.Service{
		Name:        "clubroom",
		Number:      1,
		Generation:  1,
		Slots:       6,
		Connections: 2000,
		Addresses:   []hickorymodel.ServiceAddress{{Socket: testAddress(1, 443), Protocol: hickorymodel.ProtocolTCP}},
		Upstreams: []hickorymodel.Upstream{
			{ID: "a", Zone: "z", Endpoint: testEndpoint(1)},
			{ID: "b", Zone: "z", Endpoint: testEndpoint(2)},
			{ID: "c", Zone: "z", Endpoint: testEndpoint(3)},
		},
	}
}
