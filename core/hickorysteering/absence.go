package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

// confirmInterval is the shortest time between two requests to confirm the
// published state. One confirmation serves all searches that began before it.
const confirmInterval = 100 * time.Millisecond

// checkExhausted marks a search as exhausted when it has no agents left to ask or
// to wait for.
func (b *Balancer) checkExhausted(now hickorymodel.Instant, s *search) {
	if len(s.awaiting) > 0 || len(s.remainingRounds) > 0 || s.exhausted {
		return
	}
	if b.askOthers(now, s); len(s.awaiting) > 0 {
		return
	}
	s.exhausted = true
	s.probes, s.relays, s.probed = nil, nil, nil
	b.recordDecision(&Decision{Step: StepNotFound, Flow: s.packet.Flow, Count: s.framesSent})
	b.resetIfUnowned(now, s)
}

// askOthers queries all agents that the search has not included: those whose upstreams
// belong to other services than the route's, and those that were not known when the
// search began. Any of them may hold the flow, since routes change their services and
// entries can be missing or wrong. Only the agent's answer tells, as its reports leave
// flows out: those from before its start, and those beyond maxReportAddresses.
func (b *Balancer) askOthers(now hickorymodel.Instant, s *search) {
	if s.othersAsked && s.peerChanges == b.peerChanges {
		return
	}
	s.othersAsked = true
	s.peerChanges = b.peerChanges
	others := []hickorymodel.Endpoint{}
	for endpoint, p := range b.peers {
		if !p.agentEnded(now) && !slices.Contains(s.included, endpoint) {
			others = append(others, endpoint)
		}
	}
	if len(others) == 0 {
		return
	}
	s.included = append(s.included, others...)
	s.awaiting = append(s.awaiting, others...)
	s.exhausted = false
	b.queueQueries(now, s, others)
}

// resetIfUnowned resets a flow that no agent owns, once the balancer has read the
// entries of all upstreams at which the flow may have been opened: those that were
// published before the search began, and those that may have expired while the store was
// not available.
func (b *Balancer) resetIfUnowned(now hickorymodel.Instant, s *search) {
	b.askOthers(now, s)
	if !s.exhausted || now.Before(b.staleUntil) || !b.view.StateComplete {
		return
	}
	settledAt := b.view.SettledAt
	if now.Before(settledAt) && settledAt != hickorydirectory.NeverSettled {
		return // a later confirmation serves all searches until then
	}
	if b.confirmedUntil.Before(s.startedAt) {
		b.requestConfirmation(now)
		return
	}
	if now.Before(settledAt) {
		return
	}
	b.endLostFlow(hickorymodel.Endpoint{}, ReasonNotHeld, &s.packet)
}

// endExhaustedSearches tries to end the searches that have no agents left to ask.
func (b *Balancer) endExhaustedSearches(now hickorymodel.Instant) {
	for _, s := range b.searches {
		if s.exhausted {
			b.resetIfUnowned(now, s)
		}
	}
}

// requestConfirmation requests that the published state is confirmed, unless it did so
// within confirmInterval.
func (b *Balancer) requestConfirmation(now hickorymodel.Instant) {
	if b.confirmationRequestedAt != 0 && now.Sub(b.confirmationRequestedAt) < confirmInterval {
		return
	}
	b.confirmationRequestedAt = now
	b.needsConfirmation = true
}

// dropEndedAgents removes agents that have ended with their upstreams from all
// searches. An agent that is heard again later is asked again.
func (b *Balancer) dropEndedAgents(now hickorymodel.Instant) {
	for _, s := range b.searches {
		for _, endpoint := range slices.Clone(s.awaiting) {
			if b.peer(endpoint).agentEnded(now) {
				s.drop(endpoint)
			}
		}
		b.checkExhausted(now, s)
	}
}

// drop removes an agent from the search, as if it had never been asked.
func (s *search) drop(endpoint hickorymodel.Endpoint) {
	isDropped := func(other hickorymodel.Endpoint) bool { return other == endpoint }
	s.awaiting = slices.DeleteFunc(s.awaiting, isDropped)
	s.uncertain = slices.DeleteFunc(s.uncertain, isDropped)
	s.included = slices.DeleteFunc(s.included, isDropped)
}
