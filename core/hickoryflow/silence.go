package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// unheardTime is how long an agent must have heard nothing from another to
// confirm its silence. A living agent sends a load notice every noticeRefresh.
const unheardTime = noticeRefresh + time.Second

// returnTime is how long after the return of the own zone the silence of others
// says nothing. A change is in force everywhere within 11 s; an agent that does not
// know of the return yet sends no notices and answers no queries.
const returnTime = 11*time.Second + unheardTime

// believedDead reports whether the silence of a candidate counts as not owning a
// flow: it is suspected, or neither the own agent nor any other that answered
// has heard from it. The silence towards the own agent alone may be a partition,
// behind which the candidate lives and owns the flow.
func (t *Tracker) believedDead(now hickorymodel.Instant, pending *claim, candidate hickorymodel.Candidate) bool {
	if candidate.State == hickorymodel.CandidateSuspected {
		return true
	}
	s := t.claims.silent[candidate.Endpoint]
	if s.tries < silentTries || now.Sub(s.startAt) < silentTime {
		return false
	}
	return pending.replies > 0 && pending.unheard[candidate.Endpoint] == pending.replies
}

// silentCandidates returns the candidates of a claim that have not answered lately.
func (c *claimTable) silentCandidates(candidates []hickorymodel.Candidate) []hickorymodel.Endpoint {
	var silent []hickorymodel.Endpoint
	for _, candidate := range candidates {
		if c.silent[candidate.Endpoint].tries >= claimTries {
			silent = append(silent, candidate.Endpoint)
		}
	}
	return silent
}

// noteReply counts what a candidate says about the silent ones.
func (p *claim) noteReply(reply *hickorymessage.OwnerReply) {
	p.replies++
	p.certainty = min(p.certainty, time.Duration(reply.TableAgeMillis)*time.Millisecond)
	for _, text := range reply.Unheard {
		if endpoint, err := hickorymodel.ParseEndpoint(text); err == nil {
			p.unheard[endpoint]++
		}
	}
}

// noteHeard records a sign of life of another agent of the service.
func (t *Tracker) noteHeard(now hickorymodel.Instant, from hickorymodel.Endpoint) {
	if _, named := t.zones[from]; named {
		t.heard[from] = now
	}
}

// unheard returns those of the silent agents that the own agent has not heard either.
func (t *Tracker) unheard(now hickorymodel.Instant, silent []hickoryid.Endpoint) []hickoryid.Endpoint {
	var unheard []hickoryid.Endpoint
	for _, text := range silent {
		endpoint, err := hickorymodel.ParseEndpoint(text)
		if err == nil && t.isUnheard(now, endpoint) {
			unheard = append(unheard, text)
		}
	}
	return unheard
}

// isUnheard reports whether the own agent would have heard another one if it
// lived, and has not. Load notices go to accepting agents only.
func (t *Tracker) isUnheard(now hickorymodel.Instant, endpoint hickorymodel.Endpoint) bool {
	if t.isSelf(endpoint) || !t.accepting(t.service) {
		return false
	}
	if t.returnedAt != 0 && now.Sub(t.returnedAt) < returnTime {
		return false
	}
	if now.Sub(t.startedAt) < unheardTime || len(t.service.Upstreams) > maxNoticePeers {
		return false
	}
	at, known := t.heard[endpoint]
	return !known || now.Sub(at) >= unheardTime
}

// avoidUnheard keeps new flows from agents that have been silent for longer than
// a living one would be, until a balancer suspects them.
func (t *Tracker) avoidUnheard(now hickorymodel.Instant, p *Packet) {
	for i := range p.Candidates.Len() {
		candidate := &p.Candidates[i]
		if candidate.State == hickorymodel.CandidateAccepting && t.isUnheard(now, candidate.Endpoint) {
			candidate.State = hickorymodel.CandidateOwnerOnly
		}
	}
}
