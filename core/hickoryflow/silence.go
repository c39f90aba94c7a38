package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// unheardTime is the time without any message from another agent after which
// that agent counts as unheard. A running agent sends a load notice at least
// every noticeRefresh.
const unheardTime = noticeRefresh + time.Second

// returnTime is the time after the return of this agent's zone during which no
// agent counts as unheard. A change is in force everywhere within 11 s; until
// then other agents may still exclude this zone and send it neither notices nor
// replies.
const returnTime = 11*time.Second + unheardTime

// presumedDead reports whether the missing reply of a candidate counts as not
// owning the flow. Either the candidate is suspected, or it has not replied to
// silentTries queries over at least silentTime and neither this agent nor any
// agent that replied has received a message from it. Missing replies to this
// agent alone may be due to a network partition behind which the candidate runs
// and owns the flow.
func (t *Tracker) presumedDead(now hickorymodel.Instant, pending *claim, candidate hickorymodel.Candidate) bool {
	if candidate.State == hickorymodel.CandidateSuspected {
		return true
	}
	s := t.claims.silent[candidate.Endpoint]
	if s.tries < silentTries || now.Sub(s.since) < silentTime {
		return false
	}
	return pending.replies > 0 && pending.unheard[candidate.Endpoint] == pending.replies
}

// silentCandidates returns the candidates that have not replied to the last
// claimTries queries or more, at most maxSilent. The others are not presumed dead.
func (c *claimTable) silentCandidates(candidates []hickorymodel.Candidate) []hickorymodel.Endpoint {
	var silent []hickorymodel.Endpoint
	for _, candidate := range candidates {
		if c.silent[candidate.Endpoint].tries >= claimTries && len(silent) < maxSilent {
			silent = append(silent, candidate.Endpoint)
		}
	}
	return silent
}

// addReply counts a reply to the claim and the silent candidates that it
// reports as unheard.
func (p *claim) addReply(reply *hickorymessage.OwnerReply) {
	p.replies++
	p.certainty = min(p.certainty, time.Duration(reply.TableAgeMillis)*time.Millisecond)
	for _, text := range reply.Unheard {
		if endpoint, err := hickorymodel.ParseEndpoint(text); err == nil {
			p.unheard[endpoint]++
		}
	}
}

// recordReceived records the time of a message from another agent of the
// service.
func (t *Tracker) recordReceived(now hickorymodel.Instant, from hickorymodel.Endpoint) {
	if _, named := t.zones[from]; named {
		t.lastReceived[from] = now
	}
}

// unheard returns those of the silent agents of a query that are unheard at
// this agent too.
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

// isUnheard reports whether another agent has sent no message for unheardTime,
// although it would have done so if it ran. Load notices go to accepting agents
// only, and in a service with more than maxNoticePeers upstreams to a random
// selection, so their absence shows nothing in these cases.
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
	at, known := t.lastReceived[endpoint]
	return !known || now.Sub(at) >= unheardTime
}

// avoidUnheard keeps new flows from unheard agents until a balancer marks them
// as suspected.
func (t *Tracker) avoidUnheard(now hickorymodel.Instant, p *Packet) {
	for i := range p.Candidates.Len() {
		candidate := &p.Candidates[i]
		if candidate.State == hickorymodel.CandidateAccepting && t.isUnheard(now, candidate.Endpoint) {
			candidate.State = hickorymodel.CandidateOwnerOnly
		}
	}
}
