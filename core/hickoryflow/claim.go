package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// claim sends a query to each of the other candidates, to find out whether one
// of them owns the flow. The packet is held until all have replied, so that a
// flow never gets two owners.
func (t *Tracker) claim(now hickorymodel.Instant, p *Packet) {
	pending := &claim{
		key:          p.Key,
		held:         []*Packet{p.clone()},
		certainty:    t.tableAge(now),
		unheard:      map[hickorymodel.Endpoint]int{},
		queried:      map[hickorymodel.Endpoint]struct{}{},
		queriedAgain: map[hickorymodel.Endpoint]struct{}{},
	}
	t.addCandidates(pending, p.Candidates[:p.Candidates.Len()])
	if p.Generation < t.service.Generation || t.flows.find(&p.Key) != nil {
		t.addCandidates(pending, t.ownCandidates(now, &p.Key))
	}
	t.addCandidates(pending, t.leavingUpstreams())
	if len(pending.queued) == 0 {
		t.handleUnowned(now, p, pending.certainty)
		return
	}
	if !t.claims.add(pending) {
		t.drop(p, hickorymessage.DropReasonPendingFull)
		return
	}
	t.queryNext(now, pending)
}

// queryNext queries the next candidates after the ones before have replied.
func (t *Tracker) queryNext(now hickorymodel.Instant, pending *claim) {
	pending.takeQueued()
	pending.silent = t.claims.silentCandidates(pending.waiting)
	pending.replies = 0
	clear(pending.unheard)
	pending.tries = 0
	t.tryClaim(now, pending)
}

// addCandidates adds candidates to those that a claim queries.
func (t *Tracker) addCandidates(pending *claim, candidates []hickorymodel.Candidate) {
	for _, candidate := range candidates {
		_, excluded := t.excluded[candidate.Endpoint]
		if !t.isSelf(candidate.Endpoint) && !excluded && pending.markQueried(candidate.Endpoint) {
			pending.queued = append(pending.queued, candidate)
		}
	}
}

// leavingUpstreams returns the upstreams that the section names as leaving. After
// several changes in a row a candidate list has no room for all of them, although each
// may own flows.
func (t *Tracker) leavingUpstreams() []hickorymodel.Candidate {
	var leaving []hickorymodel.Candidate
	for i := range t.service.Upstreams {
		if upstream := &t.service.Upstreams[i]; upstream.State == hickorymodel.UpstreamLeaving {
			leaving = append(leaving, hickorymodel.Candidate{Endpoint: upstream.Endpoint, State: hickorymodel.CandidateOwnerOnly})
		}
	}
	return leaving
}

// tryClaim sends a query to the candidates that have not replied yet.
func (t *Tracker) tryClaim(now hickorymodel.Instant, pending *claim) {
	pending.tries++
	pending.nextTryAt = now.Add(claimTryInterval)
	t.queryCandidates(now, pending, pending.waiting)
}

// queryCandidates sends the query of a claim to some candidates.
func (t *Tracker) queryCandidates(now hickorymodel.Instant, pending *claim, candidates []hickorymodel.Candidate) {
	var silent []hickoryid.Endpoint
	for _, endpoint := range pending.silent {
		silent = append(silent, endpoint.ID())
	}
	for _, candidate := range candidates {
		t.claims.recordTry(now, candidate.Endpoint)
		t.send(candidate.Endpoint, &hickorymessage.Datagram{OwnerQuery: &hickorymessage.OwnerQuery{
			Query:   pending.query,
			Service: t.service.Number,
			Flow:    pending.key.Message(),
			Silent:  silent,
		}})
	}
}

// retryClaims repeats queries and ends claims whose candidates have not replied
// to the last one.
func (t *Tracker) retryClaims(now hickorymodel.Instant) {
	var due []*claim
	for _, pending := range t.claims.byKey {
		if !now.Before(pending.nextTryAt) {
			due = append(due, pending)
		}
	}
	sortClaims(due)
	for _, pending := range due {
		if pending.tries < claimTries {
			t.tryClaim(now, pending)
			continue
		}
		t.timeOutClaim(now, pending)
	}
}

// timeOutClaim ends a claim whose candidates did not all reply. A missing reply
// counts as not owning the flow only if the candidate is presumed dead.
func (t *Tracker) timeOutClaim(now hickorymodel.Instant, pending *claim) {
	for _, candidate := range pending.waiting {
		if _, named := pending.queriedAgain[candidate.Endpoint]; named {
			// This agent cannot reach the candidate, but another agent has
			// stored it as the owner.
			t.yield(now, pending, candidate.Endpoint)
			return
		}
		if !t.presumedDead(now, pending, candidate) {
			t.claims.remove(pending)
			t.dropHeld(pending, hickorymessage.DropReasonOwnerUnknown)
			return
		}
	}
	// No agent can confirm that the candidates presumed dead did not own the
	// flow.
	pending.certainty = 0
	pending.waiting = nil
	t.finishClaim(now, pending)
}

// finishClaim handles the held packets of a flow that no queried agent owns, unless
// there are more agents to query. It checks the packets again, since the service may
// have changed while they were held.
func (t *Tracker) finishClaim(now hickorymodel.Instant, pending *claim) {
	if len(pending.queued) > 0 {
		t.queryNext(now, pending)
		return
	}
	t.claims.remove(pending)
	if t.dropHeldIfInvalid(pending) {
		return
	}
	if pending.incomplete {
		t.dropHeld(pending, hickorymessage.DropReasonOwnerUnknown)
		return
	}
	t.maskExcluded(pending.held[0])
	t.handleUnowned(now, pending.held[0], pending.certainty)
	for _, p := range pending.held[1:] {
		t.handle(now, p)
	}
}

// handleUnowned handles a packet of a flow that no other agent owns.
func (t *Tracker) handleUnowned(now hickorymodel.Instant, p *Packet, certainty time.Duration) {
	if r := t.flows.find(&p.Key); r != nil {
		r.unchecked = false
		r.certainSince = now
		t.handleOwned(now, p, r)
		return
	}
	p.Certainty = certainty
	t.decideNew(now, p)
}

// yield ends a claim because another agent is the owner, and forwards the held
// packets to it.
func (t *Tracker) yield(now hickorymodel.Instant, pending *claim, owner hickorymodel.Endpoint) {
	t.claims.remove(pending)
	if t.dropHeldIfInvalid(pending) {
		return
	}
	if r := t.flows.find(&pending.key); r != nil {
		t.end(r)
	}
	t.redirects.put(now, pending.key, owner)
	for _, p := range pending.held {
		t.forward(p, owner, FlagRedirected)
	}
}

// dropHeldIfInvalid drops the held packets of a claim if this agent may no
// longer handle the flow, and reports whether it did.
func (t *Tracker) dropHeldIfInvalid(pending *claim) bool {
	reason, ok := t.check(pending.held[0])
	if ok && t.ownExcluded {
		reason, ok = hickorymessage.DropReasonZoneOutOfService, false
	}
	if !ok {
		t.dropHeld(pending, reason)
	}
	return !ok
}

func (t *Tracker) dropHeld(pending *claim, reason hickorymessage.DropReason) {
	for _, p := range pending.held {
		t.drop(p, reason)
	}
}
