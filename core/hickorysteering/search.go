package hickorysteering

import (
	"maps"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// searchLife bounds a search; a later packet of the flow starts a new one.
	searchLife = 3 * time.Second
	// widenTime is how long the own zone is searched alone.
	widenTime = 20 * time.Millisecond
	// repeatTime tells a repeated packet, which the caller sends after 200 ms,
	// from the next one of the same burst.
	repeatTime = 150 * time.Millisecond
	// maxSearches bounds the searches that run at one time.
	maxSearches = 1 << 14
)

// search looks for the owner of one flow.
type search struct {
	// pending are the agents that were asked and have not sent the packet back.
	pending []hickorymodel.Endpoint
	// later are the agents that are not asked yet.
	later     []hickorymodel.Endpoint
	startedAt hickorymodel.Instant
	// seen are all agents of pending and later, also those that have answered.
	seen []hickorymodel.Endpoint
	// exhausted is true once all agents have sent the packet back.
	exhausted bool
	// packet is the newest packet of the flow.
	packet Packet
	asked  int
}

// search sends a packet of an unknown flow to the agents that may hold it.
func (b *Balancer) search(now hickorymodel.Instant, p *Packet, except hickorymodel.Endpoint) {
	s, running := b.searches[p.Flow]
	if running {
		s.packet = *p
		if now.Sub(s.startedAt) > repeatTime {
			b.widen(now, s)
		}
		b.ask(now, s, s.pending)
		b.askNew(now, s)
		return
	}
	if len(b.searches) >= maxSearches {
		b.decide(&Decision{Step: StepUnknown, Flow: p.Flow})
		return
	}
	near, far := b.holders(now, p.Flow.Destination, except)
	if len(near)+len(far) == 0 {
		b.decide(&Decision{Step: StepUnknown, Flow: p.Flow})
		return
	}
	if len(near) == 0 {
		near, far = far, nil
	}
	s = &search{pending: near, later: far, startedAt: now, packet: *p}
	s.seen = append(append(append(s.seen, near...), far...), except)
	b.searches[p.Flow] = s
	if len(far) > 0 {
		b.widening++
	}
	b.decide(&Decision{Step: StepSearched, Flow: p.Flow, Peer: except, Count: len(near) + len(far)})
	b.ask(now, s, s.pending)
}

func (b *Balancer) ask(now hickorymodel.Instant, s *search, agents []hickorymodel.Endpoint) {
	for _, endpoint := range agents {
		s.asked++
		b.send(now, s.packet.Bytes, b.peer(endpoint))
	}
}

// widen moves the search on to all agents.
func (b *Balancer) widen(now hickorymodel.Instant, s *search) {
	if len(s.later) == 0 {
		return
	}
	later := s.later
	s.later = nil
	b.widening--
	s.pending = append(s.pending, later...)
	b.ask(now, s, later)
}

func (b *Balancer) endSearch(key hickorymodel.FlowKey, s *search) {
	if len(s.later) > 0 {
		b.widening--
	}
	delete(b.searches, key)
}

// missed notes that an agent does not hold a flow.
func (b *Balancer) missed(now hickorymodel.Instant, from hickorymodel.Endpoint, p *Packet) {
	s, running := b.searches[p.Flow]
	if !running {
		b.search(now, p, from)
		return
	}
	s.pending = slices.DeleteFunc(s.pending, func(endpoint hickorymodel.Endpoint) bool { return endpoint == from })
	if len(s.pending) > 0 {
		return
	}
	if len(s.later) > 0 {
		b.widen(now, s)
		return
	}
	s.exhausted = true
	b.decide(&Decision{Step: StepNotFound, Flow: p.Flow, Count: s.asked})
	b.conclude(now, s)
}

// askNew asks agents that have become known since a search began.
func (b *Balancer) askNew(now hickorymodel.Instant, s *search) {
	near, far := b.holders(now, s.packet.Flow.Destination, hickorymodel.Endpoint{})
	for _, endpoint := range append(near, far...) {
		if slices.Contains(s.seen, endpoint) {
			continue
		}
		s.seen = append(s.seen, endpoint)
		s.pending = append(s.pending, endpoint)
		s.exhausted = false
		b.ask(now, s, []hickorymodel.Endpoint{endpoint})
	}
}

// conclude resets a flow that nobody holds, once all upstreams are known that it
// may have been opened at. New upstreams get no flows for settleTime, so it must
// have been listed that long before the search.
func (b *Balancer) conclude(now hickorymodel.Instant, s *search) {
	b.askNew(now, s)
	complete := s.startedAt.Add(-settleTime).Before(b.confirmed(now))
	if !s.exhausted || !complete || !b.knowsHolders(now) {
		return
	}
	b.lose(hickorymodel.Endpoint{}, ReasonNotHeld, &s.packet)
}

// knowsHolders reports whether all agents have said lately which addresses their
// upstreams hold flows to, so that nobody holds a flow that no one was found for.
func (b *Balancer) knowsHolders(now hickorymodel.Instant) bool {
	if !b.view.Known {
		return false
	}
	for _, p := range b.peers {
		if !p.listed {
			continue
		}
		old := !p.silent && now.Sub(p.reportedAt) > reportLife
		if p.reportedAt == 0 || old {
			return false
		}
	}
	return true
}

// advanceSearches moves searches on that the own zone has not answered, and ends
// those that nobody has answered.
func (b *Balancer) advanceSearches(now hickorymodel.Instant) {
	for _, s := range b.searches {
		switch {
		case s.exhausted:
			b.conclude(now, s)
		case len(s.later) > 0 && now.Sub(s.startedAt) > widenTime:
			b.widen(now, s)
		}
	}
}

func (b *Balancer) sortedPeers() []hickorymodel.Endpoint {
	return slices.SortedFunc(maps.Keys(b.peers), hickorymodel.Endpoint.Compare)
}
