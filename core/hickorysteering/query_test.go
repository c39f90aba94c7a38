package hickorysteering_test

import (
	"fmt"
	"testing"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
	"hickoryworks/schema/hickoryid"
)

// TestQueriesArePaced guards against a search in a large fleet that fills the ring of
// frames to send, so that queries are lost.
func TestQueriesArePaced(t *testing.T) {
	f := newFixture(t, "a")
	for i := range 1000 {
		other := f.view.Upstreams[0]
		other.ID, other.Service = hickoryid.UpstreamID(fmt.Sprint("v-", i)), hickorydirectory.HashService("packetdesk")
		other.Endpoint.Address = [4]byte{10, 1, byte(i >> 8), byte(i)}
		f.view.Upstreams = append(f.view.Upstreams, other)
	}
	f.balancer.SetView(f.now, f.view)
	f.balancer.Handle(f.now, data())
	seen, frames := map[hickorymodel.Endpoint]bool{}, targets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data()))
	for len(frames) > 0 {
		f.is.True(len(frames) <= 400)
		for _, target := range frames {
			f.is.True(!seen[target])
			seen[target] = true
		}
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		frames = targets(f.balancer.Tick(f.now))
	}
	f.is.Equal(len(seen), 1000)
}

// TestQueriesShareFrames guards against balancers that use up their processors with
// queries after a power failure: each of hundreds of searches asked some 50 agents
// with frames of its own.
func TestQueriesShareFrames(t *testing.T) {
	f := newFixture(t, "a", "b")
	sent := 0
	for port := range uint16(200) {
		packet := data()
		packet.Flow.Source.Port = port
		f.balancer.Handle(f.now, packet)
		sent += len(targets(f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, packet)))
	}
	f.is.Equal(sent, 1) // the first query after an idle time is sent at once
	f.is.True(f.balancer.Searching())
	f.now = f.now.Add(hickorysteering.SearchTickInterval)
	frames, flows := 0, 0
	for _, action := range f.balancer.Tick(f.now) {
		frames++
		flows += len(action.Flows)
	}
	f.is.Equal(flows, 199)
	f.is.Equal(frames, 3)
	f.is.True(!f.balancer.Searching())
}

// TestQueryNamesNoStart guards against agents that compare the published start of
// their upstream with their own, as those of earlier builds do.
func TestQueryNamesNoStart(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.balancer.Handle(f.now, data())
	queries := f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
	f.is.Equal(queries[0].Query, hickoryframe.Query{IdleTime: 15000})
}

// TestSearchQueriesBeyondFirstRound guards against searches that send a packet to
// all agents: they filled links of 11 Mbit/s for four seconds.
func TestSearchQueriesBeyondFirstRound(t *testing.T) {
	zones := []hickoryid.ZoneName{}
	for range 20 {
		zones = append(zones, "a")
	}
	f := newFixture(t, zones...)
	f.is.Equal(payloads(f.balancer.Handle(f.now, data())), 3)
	f.now = f.now.Add(25 * time.Millisecond)
	queries := f.balancer.Tick(f.now)
	f.is.Equal(payloads(queries), 0)
	f.is.Equal(len(targets(queries)), 17)
	var unknown hickorymodel.Endpoint
	for _, target := range targets(queries) {
		unknown = target
	}
	answer := f.balancer.HandleNotice(f.now, unknown, hickorysteering.ReasonUnknown, flow)
	f.is.Equal(payloads(answer), 1) // only the agent that answered ReasonUnknown
	f.is.Equal(targets(answer), []hickorymodel.Endpoint{unknown})
}

// TestQueriedOwnerGetsPacket guards against requests that wait for the caller's
// retransmission because their owner got a query but not the packet: 3% of the
// requests were 200 ms late after balancers had joined.
func TestQueriedOwnerGetsPacket(t *testing.T) {
	f := newFixture(t, "a", "b")
	f.balancer.Handle(f.now, data())
	f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, data())
	found := f.balancer.HandleNotice(f.now, agent(1), hickorysteering.ReasonOpen, flow)
	f.is.Equal(targets(found), []hickorymodel.Endpoint{agent(1)})
	f.is.Equal(payloads(found), 1)
}
