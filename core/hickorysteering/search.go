package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// searchLife bounds a search; a later packet of the flow starts a new one.
	searchLife = 10 * time.Second
	// roundTime is how long the agents of one round are asked alone.
	roundTime = 20 * time.Millisecond
	// repeatTime is the time after which agents that have not answered are asked
	// again. It is longer than the first repeat of a caller, since the answers to a
	// busy balancer may take as long.
	repeatTime = 550 * time.Millisecond
	// exhaustedLife is how long a search that nobody has answered keeps a later
	// packet from starting a new one.
	exhaustedLife = 1500 * time.Millisecond
	// maxSearches bounds the searches that run at one time.
	maxSearches = 1 << 14
)

// search looks for the owner of one flow.
type search struct {
	// pending are the agents that were asked and have not denied the flow.
	pending []hickorymodel.Endpoint
	// uncertain are agents of pending that do not know and get the packet itself
	// as soon as the budget allows it.
	uncertain []hickorymodel.Endpoint
	// rounds are the agents that are not asked yet, in their order.
	rounds    [][]hickorymodel.Endpoint
	startedAt hickorymodel.Instant
	// roundAt is when the last round was begun.
	roundAt hickorymodel.Instant
	// seen are all agents of pending and rounds, also those that have answered.
	seen []hickorymodel.Endpoint
	// exhausted is true once all agents have denied the flow.
	exhausted bool
	// packet is the newest packet of the flow; carried are the agents that have
	// got it.
	packet  Packet
	carried []hickorymodel.Endpoint
	// repeatedAt is when the agents that had not answered were last asked.
	repeatedAt hickorymodel.Instant
	// asked counts the frames of the search.
	asked int
}

// search sends a packet of an unknown flow to the agents that may hold it.
func (b *Balancer) search(now hickorymodel.Instant, p *Packet, except hickorymodel.Endpoint) {
	s, running := b.searches[p.Flow]
	if running && s.exhausted && now.Sub(s.startedAt) > exhaustedLife {
		b.endSearch(p.Flow, s)
		running = false
	}
	if running {
		s.packet = *p
		s.carried = nil
		b.repeatLate(now, s)
		return
	}
	if len(b.searches) >= maxSearches {
		b.decide(&Decision{Step: StepUnknown, Flow: p.Flow})
		return
	}
	rounds := b.holders(now, p.Flow, except)
	if len(rounds) == 0 {
		b.decide(&Decision{Step: StepUnknown, Flow: p.Flow})
		return
	}
	s = &search{rounds: rounds, startedAt: now, repeatedAt: now, packet: *p, seen: append(slices.Concat(rounds...), except)}
	b.searches[p.Flow] = s
	b.widening++
	b.decide(&Decision{Step: StepSearched, Flow: p.Flow, Peer: except, Count: len(s.seen) - 1})
	b.widen(now, s)
}

// repeatLate asks everyone who has not answered for repeatTime, since packets may
// be lost.
func (b *Balancer) repeatLate(now hickorymodel.Instant, s *search) {
	if now.Sub(s.repeatedAt) <= repeatTime {
		return
	}
	s.repeatedAt = now
	b.query(s, s.pending)
	for len(s.rounds) > 0 {
		b.widen(now, s)
	}
	b.askNew(now, s)
}

// dropGone ends the wait for agents that have ended with their upstreams.
func (b *Balancer) dropGone(now hickorymodel.Instant) {
	for _, s := range b.searches {
		s.pending = slices.DeleteFunc(s.pending, func(endpoint hickorymodel.Endpoint) bool { return b.peer(endpoint).gone() })
		b.finish(now, s)
	}
}

// answered takes the answer to a query.
func (b *Balancer) answered(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, key hickorymodel.FlowKey) {
	s, running := b.searches[key]
	if !running || !slices.Contains(s.pending, from) {
		return
	}
	if reason == ReasonNotHeld {
		b.missed(now, from, &s.packet)
		return
	}
	if !slices.Contains(s.uncertain, from) {
		s.uncertain = append(s.uncertain, from)
	}
	b.askUncertain(now, s)
}

// askUncertain sends the packet to agents that do not know, within the budget.
func (b *Balancer) askUncertain(now hickorymodel.Instant, s *search) {
	for len(s.uncertain) > 0 && b.searching.take(now, len(s.packet.Bytes)) {
		b.ask(now, s, s.uncertain[:1])
		s.uncertain = s.uncertain[1:]
	}
}

// ask sends the packet itself to agents, whose upstreams return it if they do
// not hold the flow.
func (b *Balancer) ask(now hickorymodel.Instant, s *search, agents []hickorymodel.Endpoint) {
	for _, endpoint := range agents {
		s.asked++
		s.carried = append(s.carried, endpoint)
		b.peer(endpoint).sent(now)
		b.actions = append(b.actions, frame(endpoint, KindData, ReasonOwnerUnknown, s.packet.Bytes))
	}
}

// widen begins the next round of a search.
func (b *Balancer) widen(now hickorymodel.Instant, s *search) {
	if len(s.rounds) == 0 {
		return
	}
	next := s.rounds[0]
	s.rounds = s.rounds[1:]
	s.roundAt = now
	if len(s.rounds) == 0 {
		b.widening--
	}
	s.pending = append(s.pending, next...)
	if s.asked == 0 {
		b.ask(now, s, next)
		return
	}
	b.query(s, next)
}

func (b *Balancer) endSearch(key hickorymodel.FlowKey, s *search) {
	if len(s.rounds) > 0 {
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
	is := func(endpoint hickorymodel.Endpoint) bool { return endpoint == from }
	s.pending = slices.DeleteFunc(s.pending, is)
	s.uncertain = slices.DeleteFunc(s.uncertain, is)
	if len(s.pending) == 0 && len(s.rounds) > 0 {
		b.widen(now, s)
		return
	}
	b.finish(now, s)
}

// finish ends a search that has no agents left to ask or to wait for.
func (b *Balancer) finish(now hickorymodel.Instant, s *search) {
	if len(s.pending) > 0 || len(s.rounds) > 0 || s.exhausted {
		return
	}
	s.exhausted = true
	b.decide(&Decision{Step: StepNotFound, Flow: s.packet.Flow, Count: s.asked})
	b.conclude(now, s)
}

// askNew asks agents that have become known since a search began.
func (b *Balancer) askNew(now hickorymodel.Instant, s *search) {
	for _, endpoint := range slices.Concat(b.holders(now, s.packet.Flow, hickorymodel.Endpoint{})...) {
		if slices.Contains(s.seen, endpoint) {
			continue
		}
		s.seen = append(s.seen, endpoint)
		s.pending = append(s.pending, endpoint)
		s.exhausted = false
		b.query(s, []hickorymodel.Endpoint{endpoint})
	}
}

// conclude resets a flow that nobody holds, once all upstreams are known that it
// may have been opened at. New upstreams get no flows for settleTime, so it must
// have been listed that long before the search.
func (b *Balancer) conclude(now hickorymodel.Instant, s *search) {
	b.askNew(now, s)
	if !s.exhausted || now.Before(b.staleUntil) || !b.knowsHolders(now, s) {
		return
	}
	confirmed := max(b.view.Confirmed, b.confirmed(now))
	if !s.startedAt.Add(-settleTime).Before(confirmed) {
		b.unconfirmed = true
		return
	}
	b.lose(hickorymodel.Endpoint{}, ReasonNotHeld, &s.packet)
}

// advanceSearches begins the next round of searches that wait for an answer, and
// ends those that nobody has answered.
func (b *Balancer) advanceSearches(now hickorymodel.Instant) {
	for _, s := range b.searches {
		if s.exhausted {
			b.conclude(now, s)
			continue
		}
		b.askUncertain(now, s)
		if len(s.rounds) > 0 && now.Sub(s.roundAt) > roundTime {
			b.widen(now, s)
		}
	}
}
