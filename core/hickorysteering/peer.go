package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// silenceLimit is how long an agent may leave frames unanswered, without
	// sending any other, before it gets no new flows: two reports and some delay.
	silenceLimit = 1200 * time.Millisecond
	// removedSilenceLimit is how long the agent of an upstream without an entry may
	// leave frames unanswered before it counts as ended: some round trips.
	removedSilenceLimit = 300 * time.Millisecond
	// reportLife is how long a report is valid: two intervals of reports to a
	// balancer that sends no new flows, and some delay.
	reportLife = 10 * time.Second
	// addressLife is how long the addresses of a report are valid: the longest life
	// of a flow, and some delay.
	addressLife = 75 * time.Second
	// busyTime is how long an upstream gets no new flows after it had no room. A
	// slot becomes free after about the work of one request.
	busyTime = 20 * time.Millisecond
)

// peer is a balancer's state of one agent and its upstream.
type peer struct {
	// endpoint is the agent's data socket.
	endpoint hickorymodel.Endpoint
	// hash is the agent's part of the rank hash.
	hash uint64
	// upstream is the entry of the view, or the last one if listed is false because
	// the view has none.
	upstream hickorydirectory.Upstream
	listed   bool
	// listedAt is when the upstream was first listed.
	listedAt hickorymodel.Instant
	// settledAt is when the upstream gets flows also if others have room: settleTime
	// after listedAt, at once for those of the first view.
	settledAt hickorymodel.Instant

	state      State
	service    hickorydirectory.ServiceHash
	flows      int
	busy       int
	reportedAt hickorymodel.Instant
	// features are those of the last report.
	features Features
	// openedSinceReport counts the new flows sent to the agent since its last
	// report.
	openedSinceReport int
	// lastFrameAt is when any frame of the agent last arrived; 0 for never.
	lastFrameAt hickorymodel.Instant
	// awaitingAnswerSince is when the oldest unanswered frame was sent to the
	// agent; 0 while there is none.
	awaitingAnswerSince hickorymodel.Instant
	// silent is true once awaitingAnswerSince is more than silenceLimit ago.
	silent bool
	// unknownAt is when the agent last answered a query with ReasonUnknown; 0 for
	// never.
	unknownAt hickorymodel.Instant
	// ended is what agentEnded last reported in a tick.
	ended bool
	// firstPacketUnansweredAt is when a first packet was last sent to another agent
	// because this one's upstream had not answered it.
	firstPacketUnansweredAt hickorymodel.Instant
	helloAt                 hickorymodel.Instant
	// busyUntil is the time until which the upstream gets no new flows, because it
	// had no room.
	busyUntil hickorymodel.Instant
	// work is what the upstream still had to do at workAt, by the agent's last frame with
	// it; workAt is 0 while the agent has not said.
	work   hickoryframe.Work
	workAt hickorymodel.Instant
	// sent counts what was sent since workAt.
	sent sentRequests
	// addresses are the service addresses of the agent's open flows, with the time
	// of the last report that named them.
	addresses map[hickorymodel.SocketAddress]hickorymodel.Instant
}

// awaitAnswer records that a frame was sent which the agent answers with another
// frame.
func (p *peer) awaitAnswer(now hickorymodel.Instant) {
	if p.awaitingAnswerSince == 0 {
		p.awaitingAnswerSince = now
	}
}

// helloDue reports whether a report is to be requested from the agent.
func (p *peer) helloDue(now hickorymodel.Instant) bool {
	if p.firstHelloDue(now) {
		return true
	}
	if !p.silent && p.awaitingAnswerSince != 0 {
		return now.Sub(max(p.awaitingAnswerSince, p.helloAt)) >= helloProbeInterval
	}
	fresh := p.lastFrameAt != 0 && now.Sub(p.lastFrameAt) < reportLife/2
	return !fresh && (p.helloAt == 0 || now.Sub(p.helloAt) >= helloInterval)
}

// applyReport applies a report of the agent.
func (p *peer) applyReport(now hickorymodel.Instant, header *hickoryframe.Header, report *hickoryframe.Report, addresses []hickoryframe.Address) {
	p.state = State(report.State)
	p.service = hickorydirectory.ServiceHash(header.Service)
	p.flows = int(report.Flows)
	p.busy = int(report.Busy)
	p.features = Features(report.Features)
	p.reportedAt = now
	p.openedSinceReport = 0
	for _, address := range addresses {
		p.addresses[socketAddress(address)] = now
	}
}

// refusesFlows reports whether the agent's last report says that it takes no new
// flows.
func (p *peer) refusesFlows(now hickorymodel.Instant) bool {
	if p.reportedAt == 0 || now.Sub(p.reportedAt) > reportLife {
		return false
	}
	return p.state == StateStopping || p.state == StateSilent
}

// agentEnded reports whether an upstream and its agent have ended: the upstream has
// no entry and the agent, which ends after it, has said that it stops or does not
// answer. Silence alone proves nothing, since an agent may be paused beside an
// upstream that serves its flows, also beside one that is leaving.
func (p *peer) agentEnded(now hickorymodel.Instant) bool {
	if p.listed && !p.upstream.Removed {
		return false
	}
	unanswered := p.awaitingAnswerSince != 0 && now.Sub(p.awaitingAnswerSince) > removedSilenceLimit
	return p.silent || unanswered || p.state == StateStopping
}

// mayHoldFlows reports whether the agent may hold flows to an address.
func (p *peer) mayHoldFlows(now hickorymodel.Instant, address hickorymodel.SocketAddress) bool {
	at, ok := p.addresses[address]
	return ok && now.Sub(at) < addressLife
}

// load returns the requests per slot, with open flows counted by flowLoad.
func (p *peer) load() float64 {
	slots := max(float64(p.upstream.Slots), 1)
	return (float64(p.busy+p.openedSinceReport) + flowLoad*float64(p.flows)) / slots
}

func (p *peer) cold(now hickorymodel.Instant) bool {
	return now.Before(p.upstream.ColdUntil)
}
