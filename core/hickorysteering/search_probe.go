package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// maxProbeTargets bounds the agents that one agent passes a probe on to.
	maxProbeTargets = 64
	// maxProbeBytes bounds the bytes of a probe frame with targets, which a datagram
	// carries without fragments.
	maxProbeBytes = 1400
	// maxProbesOfAgent is the number of probes of one search that an agent is sent by way
	// of others. It then gets the packet from the balancer itself.
	maxProbesOfAgent = 2
)

// sentProbe is a probe of a search whose answers have not all arrived.
type sentProbe struct {
	// agents are those that the probe reaches; the first one passes it on.
	agents []hickorymodel.Endpoint
	sentAt hickorymodel.Instant
	// timeout is the time after sentAt at which agents that have not answered are asked
	// in another way.
	timeout time.Duration
}

// probeSize returns the bytes of a probe frame after its UDP header.
func probeSize(targets, packetBytes int) int {
	return hickoryframe.HeaderSize + hickoryframe.ProbeSize + targets*hickoryframe.TargetSize + packetBytes
}

// probeTargets returns the number of agents that a probe with a packet of the given size
// may be passed on to.
func probeTargets(packetBytes int) int {
	room := (maxProbeBytes - probeSize(0, packetBytes)) / hickoryframe.TargetSize
	return max(0, min(maxProbeTargets, room))
}

// takeProbeable removes from the uncertain agents of a search those that a probe may
// reach and returns them by rank, so that searches for different flows choose different
// agents to pass their probes on.
func (b *Balancer) takeProbeable(s *search) []hickorymodel.Endpoint {
	probeable, direct := []hickorymodel.Endpoint{}, s.uncertain[:0]
	for _, endpoint := range s.uncertain {
		if b.peer(endpoint).features.Has(FeatureProbe) && s.probed[endpoint] < maxProbesOfAgent {
			probeable = append(probeable, endpoint)
		} else {
			direct = append(direct, endpoint)
		}
	}
	s.uncertain = direct
	b.sortByRank(probeable, s.packet.Flow.Hash())
	return probeable
}

// sendProbes sends the packet to one of the uncertain agents that pass it on to the
// others, or to several if they are many, within searchBudget. It reports whether the
// budget sufficed. Agents that no probe can reach stay uncertain.
func (b *Balancer) sendProbes(now hickorymodel.Instant, s *search) bool {
	probeable := b.takeProbeable(s)
	limit := 1 + probeTargets(len(s.packet.Bytes))
	sufficed := true
	for len(probeable) > 0 {
		relay := slices.IndexFunc(probeable, func(endpoint hickorymodel.Endpoint) bool { return b.mayRelay(now, s, endpoint) })
		if relay < 0 {
			break
		}
		count := min(limit, len(probeable))
		if !b.searchBudget.spend(now, probeSize(count-1, len(s.packet.Bytes))) {
			sufficed = false
			break
		}
		probeable[0], probeable[relay] = probeable[relay], probeable[0]
		b.sendProbe(now, s, probeable[:count:count])
		probeable = probeable[count:]
	}
	s.uncertain = append(s.uncertain, probeable...)
	return sufficed
}

// mayRelay reports whether an agent is likely to pass on a probe of a search: it answers,
// and has passed on none of this search before.
func (b *Balancer) mayRelay(now hickorymodel.Instant, s *search, endpoint hickorymodel.Endpoint) bool {
	p := b.peer(endpoint)
	overdue := p.awaitingAnswerSince != 0 && now.Sub(p.awaitingAnswerSince) > stragglerTime
	return !p.silent && !overdue && !slices.Contains(s.relays, endpoint)
}

// sendProbe sends the packet to the first of the agents, which passes it on to the rest.
// Only the first one owes the balancer an answer: the others may never get the probe.
func (b *Balancer) sendProbe(now hickorymodel.Instant, s *search, agents []hickorymodel.Endpoint) {
	timeout := stragglerTime
	if s.probed == nil {
		s.probed = map[hickorymodel.Endpoint]int{}
	}
	for _, endpoint := range agents {
		if s.probed[endpoint]++; s.probed[endpoint] == maxProbesOfAgent {
			timeout = repeatInterval
		}
	}
	relay, targets := agents[0], agents[1:]
	s.probes = append(s.probes, sentProbe{agents: agents, sentAt: now, timeout: timeout})
	s.relays = append(s.relays, relay)
	s.packetSentTo = append(s.packetSentTo, agents...)
	s.framesSent++
	b.peer(relay).awaitAnswer(now)
	action := frameAction(relay, KindProbe, ReasonOwnerUnknown, s.packet.Bytes)
	action.Verb = VerbProbe
	for _, target := range targets {
		action.Targets = append(action.Targets, hickoryframe.Target{IP: target.Address})
	}
	b.actions = append(b.actions, action)
	b.recordDecision(&Decision{Step: StepProbed, Flow: s.packet.Flow, Peer: relay, Count: len(targets)})
}

// repeatProbes asks the agents in another way that have not answered a probe in time: the
// agent that was to pass it on may be paused or gone. It waits while packets of other
// searches wait.
func (b *Balancer) repeatProbes(now hickorymodel.Instant, s *search) {
	if b.packetsPending {
		return
	}
	s.probes = slices.DeleteFunc(s.probes, func(probe sentProbe) bool {
		if now.Sub(probe.sentAt) < probe.timeout {
			return false
		}
		for _, endpoint := range probe.agents {
			if slices.Contains(s.awaiting, endpoint) {
				b.addUncertain(s, endpoint)
			}
		}
		return true
	})
	if len(s.uncertain) > 0 {
		b.sendUnlessPending(now, s)
	}
}
