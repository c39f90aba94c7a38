package hickorysteering_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hickoryworks/core/hickorysteering"
	"hickoryworks/schema/hickoryframe"
)

// TestSearchBudget guards against searches whose packets exceed searchRate and fill
// a link, and against packets that are never sent because the budget was used up.
func TestSearchBudget(t *testing.T) {
	f := newFixture(t, "a", "a", "a", "a")
	sent := 0
	for port := range uint16(500) {
		packet := data()
		packet.Flow.Source.Port = port
		packet.Bytes = make([]byte, 1000)
		first := targets(f.balancer.Handle(f.now, packet))
		for i := range 4 {
			if !slices.Contains(first, agent(i)) {
				f.now = f.now.Add(time.Microsecond)
				for _, from := range first {
					sent += payloads(f.balancer.HandleReturn(f.now, from, hickorysteering.ReasonNotHeld, packet))
				}
				sent += payloads(f.balancer.HandleNotice(f.now, agent(i), hickorysteering.ReasonUnknown, packet.Flow))
			}
		}
	}
	f.is.True(sent >= 90)
	f.is.True(sent <= 110)
	f.now = f.now.Add(time.Second)
	f.is.True(payloads(f.balancer.Tick(f.now)) > 90) // the rest follows in time
}

// TestSearchRateOfLink guards against searches that fill the link of a small balancer,
// and against callers of lost flows that wait although the link has room.
func TestSearchRateOfLink(t *testing.T) {
	cases := []struct {
		mbps float64
		sent int // packets of 1,000 bytes in two seconds, of 2,000 searches
	}{{0, 500}, {10, 500}, {20, 900}, {200, 2000}}
	for _, c := range cases {
		f := newFixture(t, "a")
		f.balancer = hickorysteering.NewBalancer("a", agentPort, rand.New(rand.NewPCG(1, 2)), func(*hickorysteering.Decision) {},
			hickorysteering.WithLink(c.mbps))
		f.addOtherService()
		sent := 0
		for port := range uint16(2000) {
			packet := data()
			packet.Flow.Source.Port = port
			packet.Bytes = make([]byte, 1000)
			f.balancer.Handle(f.now, packet)
			f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, packet)
			sent += payloads(f.balancer.HandleNotice(f.now, agent(8), hickorysteering.ReasonUnknown, packet.Flow))
		}
		for range 200 {
			f.now = f.now.Add(hickorysteering.SearchTickInterval)
			sent += payloads(f.balancer.Tick(f.now))
		}
		f.is.True(sent > c.sent*8/10)
		f.is.True(sent <= c.sent*12/10)
	}
}

// TestShortestSearchGoesFirst guards against callers of lost flows that all wait until
// the packets of the last search are sent, and against queries to an agent that has just
// answered that it can't tell.
func TestShortestSearchGoesFirst(t *testing.T) {
	f := newFixture(t, "a")
	f.addOtherService()
	search := func(port uint16) []hickorysteering.Action {
		packet := data()
		packet.Flow.Source.Port = port
		packet.Bytes = make([]byte, 1000)
		if port > 150 {
			packet.Bytes = packet.Bytes[:500]
		}
		packet.Bytes[0] = byte(port)
		f.balancer.Handle(f.now, packet)
		return append([]hickorysteering.Action{}, f.balancer.HandleReturn(f.now, agent(0), hickorysteering.ReasonNotHeld, packet)...)
	}
	query := search(0)
	f.is.Equal(len(query[0].Flows), 1)
	answers := []hickoryframe.Answer{{Flow: query[0].Flows[0], Reason: uint8(hickorysteering.ReasonUnknown)}}
	f.is.Equal(payloads(f.balancer.HandleAnswers(f.now, agent(8), answers)), 1)
	order := []byte{0}
	collect := func(actions []hickorysteering.Action) {
		for _, action := range actions {
			f.is.True(action.Verb != hickorysteering.VerbQuery)
			if len(action.Payload) > 0 && action.Target == agent(8) && !slices.Contains(order, action.Payload[0]) {
				order = append(order, action.Payload[0])
			}
		}
	}
	for port := range uint16(200) {
		f.now = f.now.Add(time.Microsecond)
		collect(search(port + 1))
	}
	f.is.True(len(order) < 110) // the budget is used up
	sent := len(order)
	f.is.True(f.balancer.Searching())
	for range 60 {
		f.now = f.now.Add(hickorysteering.SearchTickInterval)
		collect(f.balancer.Tick(f.now))
	}
	f.is.Equal(len(order), 201)
	f.is.Equal(order[sent], byte(151)) // the first of the short ones
	slices.Sort(order[sent : sent+50])
	f.is.Equal(order[sent+49], byte(200))
	f.is.True(slices.IsSorted(order[sent+50:]))
}
