package hickorysteering

import (
	"slices"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

const (
	// maxPostponed bounds the first packets that wait for another attempt, and
	// maxPostponedPerTick those that are sent in one tick. The last of a full list is
	// then sent before its caller gives up, 0.8 s after the last copy.
	maxPostponed        = 512
	maxPostponedPerTick = 10
	// postponeTime is how long a first packet waits for its next attempt.
	postponeTime = 20 * time.Millisecond
	// postponeLimit is how long after the first attempt a last copy is tried again.
	postponeLimit = 600 * time.Millisecond
)

// postponedPacket is the last copy of a first packet, which gets another attempt
// because an upstream may have room soon.
type postponedPacket struct {
	packet Packet
	dueAt  hickorymodel.Instant
}

// postpone plans another attempt for the last copy of a first packet, which no further
// copy of the caller follows. It reports false if there is no reason for one. When there
// is a reason, but no time or place left, the flow ends in silence.
func (b *Balancer) postpone(now hickorymodel.Instant, p *Packet, f *flow) bool {
	if !f.crowded {
		return false
	}
	f.crowded = false
	if f.postponedAt == 0 {
		f.postponedAt = now
	}
	if now.Sub(f.postponedAt) < postponeLimit && len(b.postponed) < maxPostponed {
		b.postponed = append(b.postponed, postponedPacket{packet: *p, dueAt: now.Add(postponeTime)})
	}
	return true
}

// sendPostponed sends the postponed first packets that are due to upstreams, those that
// have waited longest first.
func (b *Balancer) sendPostponed(now hickorymodel.Instant) {
	due := 0
	for due < min(len(b.postponed), maxPostponedPerTick) && !now.Before(b.postponed[due].dueAt) {
		due++
	}
	if due == 0 {
		return
	}
	sent := b.postponed[:due]
	b.postponed = slices.Clone(b.postponed[due:])
	for i := range sent {
		b.sendAgain(now, &sent[i].packet)
	}
}

// sendAgain sends a postponed first packet to an upstream, unless the flow has begun
// anew or its route is gone since.
func (b *Balancer) sendAgain(now hickorymodel.Instant, p *Packet) {
	f, known := b.flows[p.Flow]
	route := b.view.Routes[p.Flow.Destination]
	if !known || f.sequence != p.Sequence || !f.owner.IsZero() || route == nil {
		return
	}
	b.assign(now, p, route, f, StepRetried)
}

// othersHaveRoom reports whether an upstream that was not tried has room by the last
// report of its agent.
func (b *Balancer) othersHaveRoom(now hickorymodel.Instant, service hickorydirectory.ServiceHash, tried *triedList) bool {
	for _, p := range b.services[service] {
		usable := p.upstream.Accepting && !tried.has(p.endpoint) && !b.mayNotAnswer(now, p)
		if usable && p.reportedAt != 0 && p.load() < requestsPerSlot {
			return true
		}
	}
	return false
}
