package hickorysteering

import (
	"cmp"
	"slices"

	"hickoryworks/core/hickorymodel"
)

// addUncertain adds an agent to those that get the packet itself.
func (b *Balancer) addUncertain(s *search, endpoint hickorymodel.Endpoint) {
	if !slices.Contains(s.uncertain, endpoint) {
		s.uncertain = append(s.uncertain, endpoint)
	}
}

// sendUnlessPending sends the packet to uncertain agents at once, unless packets of
// other searches wait.
func (b *Balancer) sendUnlessPending(now hickorymodel.Instant, s *search) {
	if !b.packetsPending {
		b.packetsPending = !b.sendToUncertain(now, s)
	}
}

// sendToUncertain sends the packet to agents that can't answer a query, by probes if
// they understand them, within searchBudget. It reports whether all of them were sent it.
func (b *Balancer) sendToUncertain(now hickorymodel.Instant, s *search) bool {
	if !b.sendProbes(now, s) {
		return false
	}
	for len(s.uncertain) > 0 {
		if !b.searchBudget.spend(now, len(s.packet.Bytes)) {
			return false
		}
		b.sendSearchPacket(now, s, s.uncertain[:1])
		s.uncertain = s.uncertain[1:]
	}
	return true
}

// pendingBytes returns the bytes of the packets that the search still has to send.
func (s *search) pendingBytes() int {
	return len(s.uncertain) * len(s.packet.Bytes)
}

// sendPendingPackets sends the packets of searches that wait for searchBudget. The
// search with the fewest bytes left goes first and the oldest of equal ones, so that
// most callers of lost flows get their reset early and not all with the last packet.
func (b *Balancer) sendPendingPackets(now hickorymodel.Instant) {
	if !b.packetsPending {
		return
	}
	waiting := []*search{}
	for _, s := range b.searches {
		if len(s.uncertain) > 0 {
			waiting = append(waiting, s)
		}
	}
	slices.SortFunc(waiting, func(x, y *search) int {
		return cmp.Or(cmp.Compare(x.pendingBytes(), y.pendingBytes()), cmp.Compare(x.startedAt, y.startedAt))
	})
	for _, s := range waiting {
		if !b.sendToUncertain(now, s) {
			return
		}
	}
	b.packetsPending = false
}

// sendSearchPacket sends the packet itself to agents, whose upstreams return it if
// they do not hold the flow.
func (b *Balancer) sendSearchPacket(now hickorymodel.Instant, s *search, agents []hickorymodel.Endpoint) {
	for _, endpoint := range agents {
		s.framesSent++
		s.packetSentTo = append(s.packetSentTo, endpoint)
		b.peer(endpoint).awaitAnswer(now)
		b.actions = append(b.actions, frameAction(endpoint, KindData, ReasonOwnerUnknown, s.packet.Bytes))
	}
}
