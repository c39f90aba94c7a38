package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// searchLife bounds the duration of a search; a later packet of the flow starts
	// a new one.
	searchLife = 10 * time.Second
	// roundInterval is how long a search waits for the agents of a round before it
	// starts the next round.
	roundInterval = 20 * time.Millisecond
	// repeatInterval is the time after which agents that have not answered are
	// asked again. It is longer than the time to a caller's first retransmission,
	// since answers to a busy balancer may take as long.
	repeatInterval = 550 * time.Millisecond
	// stragglerTime is how long after the last round the few agents that have not
	// answered are asked once more, without a packet of the caller: of the frames to
	// and from a hundred agents one is often lost. At most maxStragglers are asked.
	stragglerTime = 100 * time.Millisecond
	maxStragglers = 5
	// othersInterval is how long after its last round a search asks all other agents,
	// unless the agents of its rounds have all answered before. Nearly all searches
	// find the owner sooner.
	othersInterval = 100 * time.Millisecond
	// exhaustedTime is how long after its start a search in which no agent has
	// reported to own the flow keeps later packets from starting a new one.
	exhaustedTime = 1500 * time.Millisecond
	// maxSearches bounds the searches that run at the same time.
	maxSearches = 1 << 14
)

// search is a lookup of the owner of one unknown flow. It asks agents in rounds
// until one reports that it owns the flow.
type search struct {
	// awaiting are the agents that were asked and have not reported that they do
	// not hold the flow.
	awaiting []hickorymodel.Endpoint
	// uncertain are the agents of awaiting that answer ReasonUnknown to queries. They
	// get the packet itself as soon as searchBudget allows it.
	uncertain []hickorymodel.Endpoint
	// remainingRounds are the agents that have not been asked yet, in the order of
	// the rounds.
	remainingRounds [][]hickorymodel.Endpoint
	startedAt       hickorymodel.Instant
	// lastRoundAt is when the last round was started.
	lastRoundAt hickorymodel.Instant
	// included are all agents that the search has asked or will ask, also those
	// that have answered.
	included []hickorymodel.Endpoint
	// othersAsked is true once agents outside the rounds were asked. Then included
	// has all agents that were known at peerChanges.
	othersAsked bool
	// peerChanges is the balancer's peerChanges when the search last looked for
	// agents that it has not included.
	peerChanges uint64
	// exhausted is true once all known agents have answered that they do not hold
	// the flow.
	exhausted bool
	// packet is the newest packet of the flow; packetSentTo are the agents that it
	// was sent to.
	packet       Packet
	packetSentTo []hickorymodel.Endpoint
	// lastRepeatAt is when the agents that had not answered were last asked again.
	lastRepeatAt hickorymodel.Instant
	// stragglersAsked is true once the last agents to answer were asked again.
	stragglersAsked bool
	// probes are those that agents may still answer; relays are the agents that were to
	// pass one on, and probed counts the probes that an agent was sent.
	probes []sentProbe
	relays []hickorymodel.Endpoint
	probed map[hickorymodel.Endpoint]int
	// framesSent counts the queries, packets and probes of the search.
	framesSent int
}

// search starts a search for the owner of a packet's flow at all agents that may
// own it but one, which has returned the packet. If a search already runs for the
// flow, it keeps the newer packet.
func (b *Balancer) search(now hickorymodel.Instant, p *Packet, except hickorymodel.Endpoint) {
	s, running := b.searches[p.Flow]
	if running && s.exhausted && now.Sub(s.startedAt) > exhaustedTime {
		b.endSearch(p.Flow, s)
		running = false
	}
	if running {
		s.packet = *p
		s.packetSentTo = nil
		b.repeatQueries(now, s)
		return
	}
	if len(b.searches) >= maxSearches {
		b.recordDecision(&Decision{Step: StepUnknown, Flow: p.Flow})
		return
	}
	remainingRounds := b.possibleOwners(now, p.Flow, except)
	s = &search{remainingRounds: remainingRounds, startedAt: now, lastRepeatAt: now, packet: *p, included: append(slices.Concat(remainingRounds...), except)}
	if len(remainingRounds) == 0 && b.view.Routes[p.Flow.Destination] != nil {
		b.askOthers(now, s) // the route's services have no upstreams
	}
	if len(remainingRounds) == 0 && len(s.awaiting) == 0 {
		b.recordDecision(&Decision{Step: StepUnknown, Flow: p.Flow})
		return
	}
	b.searches[p.Flow] = s
	b.recordDecision(&Decision{Step: StepSearched, Flow: p.Flow, Peer: except, Count: len(s.included) - 1})
	if len(remainingRounds) > 0 {
		b.searchesWithRounds++
		b.startNextRound(now, s)
	}
}

// repeatQueries asks all agents again that have not answered within repeatInterval,
// since frames may be lost.
func (b *Balancer) repeatQueries(now hickorymodel.Instant, s *search) {
	if now.Sub(s.lastRepeatAt) <= repeatInterval {
		return
	}
	s.lastRepeatAt = now
	b.queueQueries(now, s, s.awaiting)
	for len(s.remainingRounds) > 0 {
		b.startNextRound(now, s)
	}
	b.askOthers(now, s)
}

// handleNoOwner handles an answer with ReasonNotHeld or ReasonUnknown.
func (b *Balancer) handleNoOwner(now hickorymodel.Instant, from hickorymodel.Endpoint, reason Reason, key hickorymodel.FlowKey) {
	s, running := b.searches[key]
	if !running || !slices.Contains(s.awaiting, from) {
		return
	}
	if reason == ReasonNotHeld {
		b.recordNotHeld(now, from, &s.packet)
		return
	}
	b.peer(from).unknownAt = now
	b.addUncertain(s, from)
	if b.peer(from).features.Has(FeatureProbe) {
		b.packetsPending = true // further agents that answer within a tick share the probe
		return
	}
	b.sendUnlessPending(now, s)
}

// startNextRound asks the agents of the next round: those of the first round get
// the packet, later ones a query.
func (b *Balancer) startNextRound(now hickorymodel.Instant, s *search) {
	if len(s.remainingRounds) == 0 {
		return
	}
	next := s.remainingRounds[0]
	s.remainingRounds = s.remainingRounds[1:]
	s.lastRoundAt = now
	if len(s.remainingRounds) == 0 {
		b.searchesWithRounds--
	}
	s.awaiting = append(s.awaiting, next...)
	if s.framesSent == 0 {
		b.sendSearchPacket(now, s, next)
		return
	}
	b.queueQueries(now, s, next)
}

func (b *Balancer) endSearch(key hickorymodel.FlowKey, s *search) {
	if len(s.remainingRounds) > 0 {
		b.searchesWithRounds--
	}
	delete(b.searches, key)
}

// recordNotHeld records that an agent does not hold a flow, and starts a search if
// none runs.
func (b *Balancer) recordNotHeld(now hickorymodel.Instant, from hickorymodel.Endpoint, p *Packet) {
	s, running := b.searches[p.Flow]
	if !running {
		b.search(now, p, from)
		return
	}
	isSender := func(endpoint hickorymodel.Endpoint) bool { return endpoint == from }
	s.awaiting = slices.DeleteFunc(s.awaiting, isSender)
	s.uncertain = slices.DeleteFunc(s.uncertain, isSender)
	if len(s.awaiting) == 0 && len(s.remainingRounds) > 0 {
		b.startNextRound(now, s)
		return
	}
	b.checkExhausted(now, s)
}

// advanceSearches starts the next round of searches that have waited for
// roundInterval, asks the other agents after othersInterval, sends pending packets, and
// tries to end exhausted searches.
func (b *Balancer) advanceSearches(now hickorymodel.Instant) {
	b.sendPendingPackets(now)
	for _, s := range b.searches {
		if s.exhausted {
			b.resetIfUnowned(now, s)
			continue
		}
		if len(s.remainingRounds) > 0 && now.Sub(s.lastRoundAt) > roundInterval {
			b.startNextRound(now, s)
		}
		if !s.othersAsked && len(s.remainingRounds) == 0 && now.Sub(s.lastRoundAt) >= othersInterval {
			b.askOthers(now, s)
		}
		b.askStragglers(now, s)
		b.repeatProbes(now, s)
	}
}

// askStragglers asks the last agents that have not answered once more, unless packets
// of other searches wait.
func (b *Balancer) askStragglers(now hickorymodel.Instant, s *search) {
	due := len(s.remainingRounds) == 0 && len(s.awaiting) <= maxStragglers && now.Sub(s.lastRoundAt) >= stragglerTime
	if !due || s.stragglersAsked || b.packetsPending {
		return
	}
	s.stragglersAsked = true
	b.queueQueries(now, s, s.awaiting)
}
