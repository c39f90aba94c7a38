package hickoryadmission

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// silentTime is the time without a packet on any counted flow after which a
	// full gate probes. It is above the 30 to 60 s at which callers with idle
	// connections usually send heartbeats.
	silentTime = 2 * time.Minute
	// maxSilentTime bounds the doubling of the wait after unanswered probes.
	maxSilentTime = 16 * time.Minute
	// maxAdvanceGap is the longest time between two calls of Advance that counts
	// as silence. A process that was paused for longer has heard no flow.
	maxAdvanceGap = time.Second
)

// probe finds an upstream that restarted while its lost flows fill the gate.
// No opening is admitted then, so none can fail. A probe is one opening above
// the flow limit: an upstream that still holds its flows has no room for it,
// one that has lost them answers.
type probe struct {
	// lastLife is the time of the last packet of a flow, or of the last probe.
	lastLife hickorymodel.Instant
	// noticedAt is the time of the last Advance.
	noticedAt hickorymodel.Instant
	// wait is the silence before the next probe; 0 stands for silentTime.
	wait time.Duration
	// due admits one opening; open is true until that opening has an outcome.
	due, open bool
	// refuted is true when another flow showed life while the probe was open.
	refuted bool
}

// notice starts the silence anew at the first Advance and after a pause.
func (p *probe) notice(now hickorymodel.Instant) {
	if now.Sub(p.noticedAt) > maxAdvanceGap {
		p.lastLife = now
	}
	p.noticedAt = now
}

// alive records a packet of a flow.
func (p *probe) alive(now hickorymodel.Instant) {
	p.lastLife = now
	p.wait = 0
	p.due = false
	p.refuted = true
}

// start records that the probe was sent.
func (p *probe) start(now hickorymodel.Instant) {
	p.lastLife = now
	p.due = false
	p.open = true
	p.refuted = false
}

// fail makes the wait for the next probe longer.
func (p *probe) fail() {
	p.open = false
	p.wait = min(2*max(p.wait, silentTime), maxSilentTime)
}

// RecordActivity records a packet of a flow that is no opening.
func (g *Gate) RecordActivity(now hickorymodel.Instant) {
	g.probe.alive(now)
}

// advanceProbe allows a probe when lost flows may fill the gate.
func (g *Gate) advanceProbe(now hickorymodel.Instant) {
	g.probe.notice(now)
	full := g.openings == 0 && g.flows >= g.flowLimitAt(g.openingLimit)
	silent := now.Sub(g.probe.lastLife) >= max(g.probe.wait, silentTime)
	g.probe.due = full && silent && !g.probe.open
}

// completeProbe counts only flows that show life from now on, and starts cold,
// unless another flow has shown that the upstream still holds its flows.
func (g *Gate) completeProbe(now hickorymodel.Instant) {
	g.probe.open = false
	refuted := g.probe.refuted
	g.probe.alive(now)
	if refuted {
		return
	}
	g.forgetFlows()
	g.completed = 0
	g.lastRise = now
}
