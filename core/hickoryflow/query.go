package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickoryid"
)

// formerOwners returns the agents that this agent's table lists for a flow and
// that take no new flows. A balancer that has just started does not list those
// that the section no longer names, and neither does a new home.
func (t *Tracker) formerOwners(now hickorymodel.Instant, key *hickorymodel.FlowKey) []hickoryid.Endpoint {
	var choice hickorytable.Choice
	if t.table == nil || !t.table.Choose(now, key, &choice) {
		return nil
	}
	var former []hickoryid.Endpoint
	for i := range choice.Count {
		candidate := choice.Candidates[i]
		if candidate.State == hickorymodel.CandidateOwnerOnly && !t.isSelf(candidate.Endpoint) {
			former = append(former, candidate.Endpoint.ID())
		}
	}
	return former
}

// queryAlso queries agents that a reply has named. A missing reply of theirs
// counts as not owning the flow, as if they were suspected: they may have ended
// long ago.
func (t *Tracker) queryAlso(now hickorymodel.Instant, pending *claim, others []hickoryid.Endpoint) {
	known := len(pending.queued)
	for _, text := range others {
		endpoint, err := hickorymodel.ParseEndpoint(text)
		_, excluded := t.excluded[endpoint]
		if err != nil || excluded || t.isSelf(endpoint) || !pending.markQueried(endpoint) {
			continue
		}
		pending.queued = append(pending.queued, hickorymodel.Candidate{Endpoint: endpoint, State: hickorymodel.CandidateSuspected})
	}
	if len(pending.queued) == known {
		return
	}
	added := pending.takeQueued()
	if len(added) == 0 {
		return // they follow when others have replied
	}
	pending.tries = 1
	pending.nextTryAt = now.Add(claimTryInterval)
	t.queryCandidates(now, pending, added)
}

// hasQueried reports whether the claim queries an agent directly. Then only
// that agent's own reply counts: redirect entries of agents that had all
// refused a flow can name each other, and a home that used them would send the
// flow's first packets in a loop up to the hop limit.
func (p *claim) hasQueried(endpoint hickorymodel.Endpoint) bool {
	_, queried := p.queried[endpoint]
	return queried
}

// queryAgain queries a candidate once more after another agent has named it as
// the owner: it may have replied before an offer reached it.
func (t *Tracker) queryAgain(now hickorymodel.Instant, pending *claim, owner hickorymodel.Endpoint) {
	if _, again := pending.queriedAgain[owner]; again {
		return
	}
	pending.queriedAgain[owner] = struct{}{}
	pending.removeWaiting(owner)
	pending.waiting = append(pending.waiting, hickorymodel.Candidate{
		Endpoint: owner,
		State:    hickorymodel.CandidateAccepting,
	})
	pending.tries = 0
	pending.nextTryAt = now.Add(claimTryInterval)
}

// markQueried adds an agent to those that the claim queries. It reports false
// if the agent was queried before or maxAsked is reached.
func (p *claim) markQueried(endpoint hickorymodel.Endpoint) bool {
	if _, known := p.queried[endpoint]; known {
		return false
	}
	if len(p.queried) >= maxAsked {
		p.incomplete = true
		return false
	}
	p.queried[endpoint] = struct{}{}
	return true
}
