package hickorysteering

import "hickoryworks/core/hickorymodel"

// agentFlow is an agent's cache entry of one flow.
type agentFlow struct {
	// balancer is the one that sent the last packet; notified is the one that the
	// last notice about the owner of the flow was sent to.
	balancer hickorymodel.Endpoint
	notified hickorymodel.Endpoint
	stage    stage
	// began is true once the agent has delivered a first packet, whose sequence number
	// is sequence.
	began    bool
	sequence uint32
	// replaced is true if the first packet came while the entry was that of an open
	// flow. It may have been a late copy, and the upstream may still hold that flow.
	replaced bool
	// busy is true while a request of the caller is unanswered.
	busy bool
	// callerEnded and upstreamEnded are set by the last packet of the caller and of
	// the upstream.
	callerEnded   bool
	upstreamEnded bool
	// reset is true once either side has reset the flow.
	reset  bool
	seenAt hickorymodel.Instant
	// upstreamSentAt is when the upstream last sent a packet of the flow; 0 for
	// never.
	upstreamSentAt hickorymodel.Instant
	// unverifiedSince is when the agent first delivered a packet of the flow
	// without evidence that the upstream holds the flow; 0 once it has evidence or
	// has stopped waiting for it.
	unverifiedSince hickorymodel.Instant
	// requested is true once the caller has sent data; requestEnd is the sequence
	// number after the last byte of it.
	requested  bool
	requestEnd uint32
	// countedLate is true once the request has been counted as failed, because it
	// was not answered in time.
	countedLate bool
	// overtaken is true when the upstream's last packet of the flow has arrived although
	// the request is not answered: packets overtake each other on the way.
	overtaken bool
	// requestedAt is when the oldest unanswered request was delivered.
	requestedAt hickorymodel.Instant
	// worked is the key of the flow once the work model has got a request of it.
	worked hickorymodel.FlowKey
}

// newAgentFlow returns the entry of a flow that begins with a first packet, in place of
// another entry.
func newAgentFlow(p *Packet, other *agentFlow) agentFlow {
	return agentFlow{
		balancer: other.balancer, seenAt: other.seenAt, began: true, sequence: p.Sequence,
		replaced: other.replaced || (other.stage == stageOpen && !other.ended()),
	}
}

// isCopy reports whether a first packet is a copy of the one with which the flow began.
func (f *agentFlow) isCopy(p *Packet) bool {
	return f.began && f.sequence == p.Sequence
}

// neverHeld reports whether a returned packet shows that the upstream does not hold the
// flow. A first packet that the upstream does not accept says nothing about a flow that
// it has answered before.
func (f *agentFlow) neverHeld(p *Packet) bool {
	return !p.First || (f.stage == stageOpening && !f.replaced)
}

// ended reports whether the upstream has ended the flow. While only one side has, the
// upstream may still have data to send or to receive.
func (f *agentFlow) ended() bool {
	return f.reset || (f.callerEnded && f.upstreamEnded)
}

// open reports whether the upstream holds the flow and neither side has ended it.
func (f *agentFlow) open() bool {
	return f.stage == stageOpen && !f.callerEnded && !f.upstreamEnded
}

// recordRequestData records the data of a caller's packet and reports whether they
// are new. Callers retransmit packets, also when the answer is already on its way.
func (f *agentFlow) recordRequestData(p *Packet) bool {
	end := p.Sequence + uint32(p.Data)
	if p.Data == 0 || (f.requested && int32(end-f.requestEnd) <= 0) {
		return false
	}
	f.requested = true
	f.requestEnd = end
	return true
}

// flow returns the cache entry of a flow. It adds an entry if there is none, and
// returns nil if the cache is full.
func (a *Agent) flow(now hickorymodel.Instant, key hickorymodel.FlowKey) *agentFlow {
	f, ok := a.flows[key]
	if !ok {
		if len(a.flows) >= maxAgentFlows {
			a.recordedSince = now
			return nil
		}
		f = &agentFlow{}
		a.flows[key] = f
	}
	f.seenAt = now
	return f
}

func (a *Agent) setBusy(f *agentFlow, busy bool) {
	if f.busy == busy {
		return
	}
	f.busy = busy
	if busy {
		a.busy++
	} else {
		a.busy--
		a.dropWork(f)
		if f.countedLate {
			a.health.overdue--
		}
	}
}
