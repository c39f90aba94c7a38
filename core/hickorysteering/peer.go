package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// silenceLimit is how long an agent may leave packets without any sign of
	// life before it gets no new flows: two reports and some delay.
	silenceLimit = 1200 * time.Millisecond
	// reportLife is how long a report counts: two of those to a balancer that
	// sends no new flows, and some delay.
	reportLife = 10 * time.Second
	// addressLife is how long the addresses of a report count: the longest life
	// of a flow, and some delay.
	addressLife = 75 * time.Second
	// busyTime is how long an upstream that had no room gets no new flows. A slot
	// is free again after about the work of one request.
	busyTime = 20 * time.Millisecond
)

// peer is what a balancer knows of one agent.
type peer struct {
	// endpoint is the agent's data socket.
	endpoint hickorymodel.Endpoint
	// hash is the agent's part of its rank for a flow.
	hash uint64
	// upstream is the entry of the view; listed is false when there is none.
	upstream hickorydirectory.Upstream
	listed   bool
	// listedAt is when the upstream became known.
	listedAt hickorymodel.Instant

	state      State
	service    hickorydirectory.ServiceHash
	flows      int
	busy       int
	reportedAt hickorymodel.Instant
	// opened counts the new flows sent since the last report.
	opened int
	// heardAt is when any frame of the agent last arrived; 0 for never.
	heardAt hickorymodel.Instant
	// waitingSince is when the first frame was sent that no frame has answered; 0
	// while there is none.
	waitingSince hickorymodel.Instant
	// silent is true once waitingSince is silenceLimit old.
	silent bool
	// unansweredAt is when a first packet was last given up on here.
	unansweredAt hickorymodel.Instant
	helloAt      hickorymodel.Instant
	// busyUntil is until when the upstream is believed to have no room for new
	// flows.
	busyUntil hickorymodel.Instant
	// addresses are the service addresses of the agent's open flows, with the
	// time of the last report that named them.
	addresses map[hickorymodel.SocketAddress]hickorymodel.Instant
}

// sent notes that a frame was sent which another one answers.
func (p *peer) sent(now hickorymodel.Instant) {
	if p.waitingSince == 0 {
		p.waitingSince = now
	}
}

// helloDue reports whether the agent is to be asked for a report.
func (p *peer) helloDue(now hickorymodel.Instant) bool {
	if !p.silent && p.waitingSince != 0 {
		return now.Sub(max(p.waitingSince, p.helloAt)) >= helloProbeInterval
	}
	fresh := p.heardAt != 0 && now.Sub(p.heardAt) < reportLife/2
	return !fresh && (p.helloAt == 0 || now.Sub(p.helloAt) >= helloInterval)
}

// report takes a report of the agent.
func (p *peer) report(now hickorymodel.Instant, header *hickoryframe.Header, report *hickoryframe.Report, addresses []hickoryframe.Address) {
	p.state = State(report.State)
	p.service = hickorydirectory.ServiceHash(header.Service)
	p.flows = int(report.Flows)
	p.busy = int(report.Busy)
	p.reportedAt = now
	p.opened = 0
	for _, address := range addresses {
		p.addresses[socketAddress(address)] = now
	}
}

// refuses reports whether the agent's last report says that it takes no flows.
func (p *peer) refuses(now hickorymodel.Instant) bool {
	if p.reportedAt == 0 || now.Sub(p.reportedAt) > reportLife {
		return false
	}
	return p.state == StateStopping || p.state == StateSilent
}

// gone reports whether an upstream that leaves has ended: its agent ends after it.
func (p *peer) gone() bool {
	return p.silent && p.upstream.Leaving
}

// failing reports whether the agent's last report says that the upstream fails
// requests.
func (p *peer) failing(now hickorymodel.Instant) bool {
	return p.state == StateFailing && now.Sub(p.reportedAt) <= reportLife
}

// holds reports whether the agent may hold flows to an address.
func (p *peer) holds(now hickorymodel.Instant, address hickorymodel.SocketAddress) bool {
	at, ok := p.addresses[address]
	return ok && now.Sub(at) < addressLife
}

// load returns the requests for each slot.
func (p *peer) load() float64 {
	slots := max(float64(p.upstream.Slots), 1)
	return (float64(p.busy+p.opened) + flowLoad*float64(p.flows)) / slots
}

func (p *peer) cold(now hickorymodel.Instant) bool {
	return now.Before(p.upstream.ColdUntil)
}
