package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// rampRateUnit is the number of seconds that the ramp rate of a frame covers.
	rampRateUnit = 1000
	// gateWindow is the time over which new flows of a cold start count. It is
	// longer than the second of the limit, because packets still take time from
	// the agent to the upstream.
	gateWindow = 1050 * time.Millisecond
	// minColdFlows is the number of new flows that an upstream gets in each
	// window of a cold start, if its rate is lower.
	minColdFlows = 3
	// silenceTime is how long an upstream may leave first packets unanswered
	// before it gets no more; a warm one answers within a millisecond.
	silenceTime = 120 * time.Millisecond
	// silenceOpenings is the number of unanswered first packets that it takes,
	// since a single one may have been lost.
	silenceOpenings = 2
	// probeInterval is the time between two first packets to an upstream that
	// does not answer.
	probeInterval = 250 * time.Millisecond
	// silenceRepeat is the longest time between two unanswered first packets
	// that count together.
	silenceRepeat = 2 * time.Second
)

// gate decides which first packets an upstream gets.
type gate struct {
	// coldUntil is when the cold start ends; 0 for a warm upstream.
	coldUntil hickorymodel.Instant
	rampTime  time.Duration
	// rampRate is in new flows a second; 0 stands for no limit.
	rampRate float64
	// openings holds the times of the first packets delivered in the last window.
	openings []hickorymodel.Instant

	// unanswered counts the first packets delivered since the last sign of life.
	unanswered int
	firstAt    hickorymodel.Instant
	lastAt     hickorymodel.Instant
	// silent is true while the upstream is believed not to answer.
	silent  bool
	probeAt hickorymodel.Instant
}

// learn takes what a balancer knows of the upstream's cold start. The longest
// one that any balancer names counts.
func (g *gate) learn(now hickorymodel.Instant, header *hickoryframe.Header) {
	g.rampTime = time.Duration(header.RampTime) * time.Millisecond
	g.rampRate = float64(header.RampRate) / rampRateUnit
	if header.ColdTime > 0 {
		g.coldUntil = max(g.coldUntil, now.Add(time.Duration(header.ColdTime)*time.Millisecond))
	}
}

// admit reports whether a first packet may be delivered now.
func (g *gate) admit(now hickorymodel.Instant) (Reason, bool) {
	g.forget(now)
	if g.silent && g.probeAt != 0 && now.Sub(g.probeAt) < probeInterval {
		return ReasonSilent, false
	}
	if g.limited(now) && len(g.openings) >= max(minColdFlows, int(g.rampRate)) {
		return ReasonCold, false
	}
	if g.silent {
		g.probeAt = now
	}
	g.openings = append(g.openings, now)
	if g.unanswered == 0 || now.Sub(g.lastAt) > silenceRepeat {
		g.unanswered = 0
		g.firstAt = now
	}
	g.unanswered++
	g.lastAt = now
	return ReasonNone, true
}

// limited reports whether a cold start with a stated rate goes on.
func (g *gate) limited(now hickorymodel.Instant) bool {
	return g.rampRate > 0 && now.Before(g.coldUntil)
}

func (g *gate) forget(now hickorymodel.Instant) {
	old := 0
	for old < len(g.openings) && now.Sub(g.openings[old]) >= gateWindow {
		old++
	}
	g.openings = append(g.openings[:0], g.openings[old:]...)
}

// opened returns the number of first packets delivered in the last time, which is
// at most gateWindow.
func (g *gate) opened(now hickorymodel.Instant, last time.Duration) int {
	count := 0
	for count < len(g.openings) && now.Sub(g.openings[len(g.openings)-1-count]) < last {
		count++
	}
	return count
}

// answered notes a sign of life and reports whether the upstream was silent.
func (g *gate) answered(now hickorymodel.Instant) bool {
	g.unanswered = 0
	if !g.silent {
		return false
	}
	g.silent = false
	g.restarted(now)
	return true
}

// restarted starts a cold start that no balancer may know of yet.
func (g *gate) restarted(now hickorymodel.Instant) {
	g.coldUntil = max(g.coldUntil, now.Add(g.rampTime))
}

// tick reports whether the upstream has just become silent.
func (g *gate) tick(now hickorymodel.Instant) bool {
	if g.silent || g.unanswered < silenceOpenings || now.Sub(g.firstAt) < silenceTime {
		return false
	}
	g.silent = true
	g.probeAt = now
	return true
}
