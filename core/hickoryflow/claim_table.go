package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// maxClaims is the largest number of flows that wait for replies of other
	// candidates.
	maxClaims = 256
	// maxHeldPackets is the largest number of packets held for one claim.
	maxHeldPackets = 4
	// maxQueried is the largest number of agents that one claim queries at the same
	// time, and maxAsked the largest number that it queries one after the other.
	maxQueried = 2 * hickorymodel.MaxCandidates
	maxAsked   = 1024
	// maxSilent is the largest number of silent candidates that a query names.
	maxSilent = hickorymodel.MaxCandidates
	// claimTries and claimTryInterval give a candidate 120 ms to reply.
	claimTries       = 3
	claimTryInterval = 40 * time.Millisecond
	// silentTries and silentTime are the number of unanswered queries and the
	// time since the first of them after which a candidate may be presumed dead
	// although no balancer suspects it yet.
	silentTries = 6
	silentTime  = 600 * time.Millisecond
)

// claim is the state of the queries about one flow and the packets that wait
// for their result.
type claim struct {
	key   hickorymodel.FlowKey
	query int
	// held has at least one packet and at most maxHeldPackets.
	held []*Packet
	// queried holds the agents that a query was or will be sent to, at most maxAsked.
	queried map[hickorymodel.Endpoint]struct{}
	// queued holds those that get a query when others have replied.
	queued []hickorymodel.Candidate
	// incomplete is true once an agent was left out because of maxAsked. It may own the
	// flow.
	incomplete bool
	// queriedAgain holds the agents that were queried once more after another
	// agent had named them as the owner.
	queriedAgain map[hickorymodel.Endpoint]struct{}
	// waiting holds the candidates that were queried and have not replied, at most
	// maxQueried and those that were queried again.
	waiting []hickorymodel.Candidate
	// certainty is the shortest age of the flow tables of this agent and of the
	// agents that have replied.
	certainty time.Duration
	// silent holds candidates that had left at least claimTries queries unanswered when
	// they were queried, at most maxSilent.
	silent []hickorymodel.Endpoint
	// replies counts the replies since silent was set; unheard counts for each silent
	// candidate those that name it as unheard (see unheardTime).
	replies   int
	unheard   map[hickorymodel.Endpoint]int
	tries     int
	nextTryAt hickorymodel.Instant
}

// claimTable holds the pending claims.
type claimTable struct {
	// byKey has at most maxClaims entries, the same as byQuery.
	byKey     map[hickorymodel.FlowKey]*claim
	byQuery   map[int]*claim
	lastQuery int
	// silent counts the queries to each candidate since its last reply.
	silent map[hickorymodel.Endpoint]unansweredQueries
}

// unansweredQueries is the number of queries without a reply and the time of
// the first one.
type unansweredQueries struct {
	tries int
	since hickorymodel.Instant
}

// newClaimTable starts the query numbers at a random value, so that a reply to
// a former process is not matched with a query of this process.
func newClaimTable(firstQuery uint32) *claimTable {
	return &claimTable{
		byKey:     map[hickorymodel.FlowKey]*claim{},
		byQuery:   map[int]*claim{},
		lastQuery: int(firstQuery),
		silent:    map[hickorymodel.Endpoint]unansweredQueries{},
	}
}

// hold stores a packet of a flow that is being claimed and reports whether
// there is such a claim. Packets above maxHeldPackets are not stored; the
// caller retransmits them.
func (c *claimTable) hold(p *Packet) bool {
	pending, ok := c.byKey[p.Key]
	if !ok {
		return false
	}
	if len(pending.held) < maxHeldPackets {
		pending.held = append(pending.held, p.clone())
	}
	return true
}

func (c *claimTable) add(pending *claim) bool {
	if len(c.byKey) >= maxClaims {
		return false
	}
	c.lastQuery++
	pending.query = c.lastQuery
	c.byKey[pending.key] = pending
	c.byQuery[pending.query] = pending
	return true
}

func (c *claimTable) remove(pending *claim) {
	delete(c.byKey, pending.key)
	delete(c.byQuery, pending.query)
}

func (c *claimTable) clearUnanswered(from hickorymodel.Endpoint) {
	delete(c.silent, from)
}

func (c *claimTable) recordTry(now hickorymodel.Instant, to hickorymodel.Endpoint) {
	s, known := c.silent[to]
	if !known {
		s.since = now
	}
	s.tries++
	c.silent[to] = s
}

// takeQueued moves candidates from queued to waiting, up to maxQueried, and returns them.
func (p *claim) takeQueued() []hickorymodel.Candidate {
	count := min(len(p.queued), max(maxQueried-len(p.waiting), 0))
	taken := p.queued[:count:count]
	p.queued = p.queued[count:]
	p.waiting = append(p.waiting, taken...)
	return taken
}

// removeWaiting removes an agent from the candidates that the claim waits for,
// and reports whether it was among them.
func (p *claim) removeWaiting(from hickorymodel.Endpoint) bool {
	for i := range p.waiting {
		if p.waiting[i].Endpoint == from {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return true
		}
	}
	return false
}
