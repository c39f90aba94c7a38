package hickorysteering

import "hickoryworks/core/hickorymodel"

// agentFlow is an agent's cached knowledge of one flow.
type agentFlow struct {
	// balancer sent the last packet, told was told last who owns the flow.
	balancer hickorymodel.Endpoint
	told     hickorymodel.Endpoint
	stage    stage
	// busy is true while a request of the caller is unanswered.
	busy bool
	// callerEnded and upstreamEnded are set by the last packet of each side.
	callerEnded   bool
	upstreamEnded bool
	seenAt        hickorymodel.Instant
	// upstreamAt is when the upstream last sent a packet; 0 for never.
	upstreamAt hickorymodel.Instant
	// waitingSince is when the first packet was delivered of which it is not
	// known whether the upstream holds its flow; 0 for none.
	waitingSince hickorymodel.Instant
	// asked is true once the caller has sent data, up to position askedEnd.
	asked    bool
	askedEnd uint32
	// late is true once the request counts as failed, because it is unanswered.
	late bool
	// askedAt is when the oldest unanswered request was delivered.
	askedAt hickorymodel.Instant
}

// open reports whether the upstream holds the flow and neither side is done.
func (f *agentFlow) open() bool {
	return f.stage == stageOpen && !f.callerEnded && !f.upstreamEnded
}

// advance notes the data of a caller's packet and reports whether they are new. A
// caller repeats packets, also when the answer is on its way already.
func (f *agentFlow) advance(p *Packet) bool {
	end := p.Sequence + uint32(p.Data)
	if p.Data == 0 || (f.asked && int32(end-f.askedEnd) <= 0) {
		return false
	}
	f.asked = true
	f.askedEnd = end
	return true
}

func (a *Agent) flow(now hickorymodel.Instant, key hickorymodel.FlowKey) *agentFlow {
	f, ok := a.flows[key]
	if !ok {
		if len(a.flows) >= maxAgentFlows {
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
	}
}
