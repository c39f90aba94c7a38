package hickoryadmission

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// probeIdleTime is the time without a packet on any counted flow after
	// which a full gate probes. It is above the 30 to 60 s at which callers
	// with idle connections usually send heartbeats.
	probeIdleTime = 2 * time.Minute
	// maxProbeIdleTime is the longest idle time, which doubles after each
	// unanswered probe.
	maxProbeIdleTime = 16 * time.Minute
	// maxAdvanceGap is the longest time between two calls of Advance that
	// counts as idle time. A process that was paused for longer has received no
	// packets.
	maxAdvanceGap = time.Second
)

// probe detects an upstream that has restarted while its lost flows fill the
// gate. No opening is admitted then, so none can time out. A probe is one
// opening above the flow limit: an upstream that still holds its flows has no
// room for it, one that has lost them answers.
type probe struct {
	// idleSince is the time of the last packet of a flow, of the last probe, or
	// of the end of a pause.
	idleSince hickorymodel.Instant
	// advancedAt is the time of the last Advance.
	advancedAt hickorymodel.Instant
	// wait is the idle time before the next probe; 0 stands for probeIdleTime.
	wait time.Duration
	// due admits one opening; open is true until that opening has completed,
	// timed out or ended.
	due, open bool
	// otherFlowActive is true when another flow had a packet while the probe
	// was open.
	otherFlowActive bool
}

// recordAdvance records a call of Advance. It restarts the idle time at the
// first call and after a pause.
func (p *probe) recordAdvance(now hickorymodel.Instant) {
	if now.Sub(p.advancedAt) > maxAdvanceGap {
		p.idleSince = now
	}
	p.advancedAt = now
}

// recordActivity records a packet of a flow.
func (p *probe) recordActivity(now hickorymodel.Instant) {
	p.idleSince = now
	p.wait = 0
	p.due = false
	p.otherFlowActive = true
}

// start records that the probe was sent.
func (p *probe) start(now hickorymodel.Instant) {
	p.idleSince = now
	p.due = false
	p.open = true
	p.otherFlowActive = false
}

// fail doubles the idle time before the next probe, up to maxProbeIdleTime.
func (p *probe) fail() {
	p.open = false
	p.wait = min(2*max(p.wait, probeIdleTime), maxProbeIdleTime)
}

// RecordActivity records a packet of a flow that is not an opening.
func (g *Gate) RecordActivity(now hickorymodel.Instant) {
	g.probe.recordActivity(now)
}

// advanceProbe allows a probe when the gate is full of flows that may be lost.
func (g *Gate) advanceProbe(now hickorymodel.Instant) {
	g.probe.recordAdvance(now)
	full := g.openings == 0 && g.flows >= g.flowLimitAt(g.openingLimit)
	idleLongEnough := now.Sub(g.probe.idleSince) >= max(g.probe.wait, probeIdleTime)
	g.probe.due = full && idleLongEnough && !g.probe.open
}

// completeProbe handles the answer to a probe. Unless another flow had a packet
// meanwhile, which shows that the upstream still holds its flows, it starts
// cold and counts only flows that have a packet from now on.
func (g *Gate) completeProbe(now hickorymodel.Instant) {
	g.probe.open = false
	otherFlowActive := g.probe.otherFlowActive
	g.probe.recordActivity(now)
	if otherFlowActive {
		return
	}
	g.resetToCold()
	g.completed = 0
	g.lastRise = now
}
