package hickoryadmission

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// hintLifetime is the age above which a load hint is no longer used.
	hintLifetime = 10 * time.Second
	// maxPeers is the largest number of hints.
	maxPeers = 64
	// marginDivisor sets the difference in load that is not worth a further
	// hop: one flow in 64, and at least one flow.
	marginDivisor = 64
)

// Peers holds load hints: the loads that the other agents of a service have
// sent.
type Peers struct {
	// hints has at most maxPeers entries.
	hints map[hickorymodel.Endpoint]hint
	// sameZone holds the agents in this agent's zone.
	sameZone []hickorymodel.Endpoint
}

type hint struct {
	load       Load
	receivedAt hickorymodel.Instant
}

// NewPeers returns an empty table of hints.
func NewPeers() *Peers {
	return &Peers{hints: map[hickorymodel.Endpoint]hint{}}
}

// RecordLoad stores the load of another agent. When the table is full of usable
// hints, the load of a further agent is not stored.
func (p *Peers) RecordLoad(now hickorymodel.Instant, from hickorymodel.Endpoint, load Load) {
	if _, known := p.hints[from]; !known && len(p.hints) >= maxPeers {
		p.dropExpired(now)
		if len(p.hints) >= maxPeers {
			return
		}
	}
	p.hints[from] = hint{load: load, receivedAt: now}
}

// AddFlow counts a flow that was offered to another agent since its last
// notice, so that a burst of offers does not all go to the same agent.
func (p *Peers) AddFlow(to hickorymodel.Endpoint) {
	h, known := p.hints[to]
	if !known {
		return
	}
	h.load.Flows++
	p.hints[to] = h
}

// SetSameZone sets the agents in this agent's zone.
func (p *Peers) SetSameZone(sameZone []hickorymodel.Endpoint) {
	p.sameZone = sameZone
}

// pick holds the positions of the candidates with the fewest flows so far: of
// all, and of those in this agent's zone. A position of -1 stands for none.
type pick struct {
	best, sameZone           int
	bestFlows, sameZoneFlows int
}

func newPick() pick {
	return pick{best: -1, sameZone: -1}
}

func (c *pick) add(position, flows int, sameZone bool) {
	if c.best < 0 || flows < c.bestFlows {
		c.best, c.bestFlows = position, flows
	}
	if sameZone && (c.sameZone < 0 || flows < c.sameZoneFlows) {
		c.sameZone, c.sameZoneFlows = position, flows
	}
}

// position returns the position of the chosen candidate. The one in this
// agent's zone is preferred if its flows are within the margin of the best one,
// since links between zones are slow and costly.
func (c *pick) position() int {
	if c.sameZone >= 0 && c.sameZoneFlows <= c.bestFlows+margin(c.bestFlows) {
		return c.sameZone
	}
	return c.best
}

// LessLoaded returns the position of a candidate that has room and whose load
// is below flows by more than the margin. One in this agent's zone is
// preferred, since any such candidate reduces the imbalance.
func (p *Peers) LessLoaded(now hickorymodel.Instant, flows int, list *hickorymodel.CandidateList, self hickorymodel.Endpoint) (int, bool) {
	choice := newPick()
	for i := range list.Len() {
		load, ok := p.usable(now, list[i], self)
		if ok && load.Flows < flows-margin(flows) {
			choice.add(i, load.Flows, slices.Contains(p.sameZone, list[i].Endpoint))
		}
	}
	if choice.sameZone >= 0 {
		return choice.sameZone, true
	}
	return choice.best, choice.best >= 0
}

// WithRoom returns the position of the candidate to try next when the agent's
// own upstream is full: the one with the fewest flows of those that have room,
// or else the first accepting one with no usable hint. Candidates up to and
// including position after are left out.
func (p *Peers) WithRoom(now hickorymodel.Instant, after int, list *hickorymodel.CandidateList, self hickorymodel.Endpoint) (int, bool) {
	choice := newPick()
	unknown := -1
	for i := after + 1; i < list.Len(); i++ {
		if list[i].State != hickorymodel.CandidateAccepting || list[i].Endpoint == self {
			continue
		}
		load, known := p.Load(now, list[i].Endpoint)
		switch {
		case !known:
			if unknown < 0 {
				unknown = i
			}
		case load.Accepting:
			choice.add(i, load.Flows, slices.Contains(p.sameZone, list[i].Endpoint))
		default:
		}
	}
	if choice.best < 0 {
		return unknown, unknown >= 0
	}
	return choice.position(), true
}

// Load returns the load that another agent has sent, if it is at most
// hintLifetime old.
func (p *Peers) Load(now hickorymodel.Instant, from hickorymodel.Endpoint) (Load, bool) {
	h, known := p.hints[from]
	return h.load, known && now.Sub(h.receivedAt) <= hintLifetime
}

func (p *Peers) usable(now hickorymodel.Instant, candidate hickorymodel.Candidate, self hickorymodel.Endpoint) (Load, bool) {
	if candidate.State != hickorymodel.CandidateAccepting || candidate.Endpoint == self {
		return Load{}, false
	}
	load, known := p.Load(now, candidate.Endpoint)
	return load, known && load.Accepting
}

func (p *Peers) dropExpired(now hickorymodel.Instant) {
	for endpoint, h := range p.hints {
		if now.Sub(h.receivedAt) > hintLifetime {
			delete(p.hints, endpoint)
		}
	}
}

func margin(flows int) int {
	return max(flows/marginDivisor, 1)
}
