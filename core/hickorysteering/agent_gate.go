package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// rampRateUnit is the unit of the ramp rate in frames: new flows per 1000
	// seconds.
	rampRateUnit = 1000
	// gateWindow is the time window in which the new flows of a cold start are
	// counted. It is longer than the second that the limit is stated for, because
	// the packets reach the upstream with varying delay.
	gateWindow = 1050 * time.Millisecond
	// minColdFlows is the number of new flows that are admitted in each window of a
	// cold start even if the ramp rate is lower.
	minColdFlows = 3
	// upstreamSilenceTime is how long an upstream may leave first packets
	// unanswered before it counts as silent and gets no more. A warm upstream
	// answers within a millisecond.
	upstreamSilenceTime = 120 * time.Millisecond
	// minSilentOpenings is the number of unanswered first packets from which on an
	// upstream may count as silent; a single one may have been lost.
	minSilentOpenings = 2
	// silentProbeInterval is the time between two first packets that a silent
	// upstream still gets as probes.
	silentProbeInterval = 250 * time.Millisecond
	// maxTickGap is the longest time between two ticks that does not count as a pause of
	// the agent: a tick and some scheduling delay.
	maxTickGap = TickInterval + 50*time.Millisecond
	// maxUnansweredGap is the longest time between two unanswered first packets
	// that are counted together.
	maxUnansweredGap = 2 * time.Second
)

// gate is the admission control of an upstream: it limits new flows during a cold
// start and while the upstream is silent.
type gate struct {
	// startedAt is the agent's start. The agent may have had a predecessor, whose
	// openings it does not know.
	startedAt hickorymodel.Instant
	// coldUntil is when the cold start ends; 0 for a warm upstream.
	coldUntil hickorymodel.Instant
	rampTime  time.Duration
	// rampRate is in new flows per second; 0 stands for no limit.
	rampRate float64
	// openings holds the times of the first packets that were delivered within
	// gateWindow.
	openings []hickorymodel.Instant

	// unanswered counts the first packets that were delivered since the upstream
	// last sent anything; firstUnansweredAt and lastUnansweredAt are the times of
	// the first and the last of them.
	unanswered        int
	firstUnansweredAt hickorymodel.Instant
	lastUnansweredAt  hickorymodel.Instant
	// silent is true while the upstream does not answer first packets; lastProbeAt
	// is when it last got one as a probe.
	silent      bool
	lastProbeAt hickorymodel.Instant
	// checkedAt is when detectChange was last called; 0 for never.
	checkedAt hickorymodel.Instant
	// doubted is true once the upstream has seemed silent right after a pause of the
	// agent, in which the upstream's answers may have waited.
	doubted bool
}

// updateColdStart applies the cold start that a frame names. Frames of different
// balancers may differ in it; the latest end counts.
func (g *gate) updateColdStart(now hickorymodel.Instant, header *hickoryframe.Header) {
	g.rampTime = time.Duration(header.RampTime) * time.Millisecond
	g.rampRate = float64(header.RampRate) / rampRateUnit
	if header.ColdTime > 0 {
		g.coldUntil = max(g.coldUntil, now.Add(time.Duration(header.ColdTime)*time.Millisecond))
	}
}

// admit reports whether a first packet may be delivered now, and counts it if so. In
// the gateWindow after its start the agent admits none to a cold upstream, since its
// predecessor may just have admitted as many as the upstream bears.
func (g *gate) admit(now hickorymodel.Instant) (Reason, bool) {
	g.dropOldOpenings(now)
	if g.silent && g.lastProbeAt != 0 && now.Sub(g.lastProbeAt) < silentProbeInterval {
		return ReasonSilent, false
	}
	if g.rateLimited(now) && (now.Sub(g.startedAt) < gateWindow || len(g.openings) >= max(minColdFlows, int(g.rampRate))) {
		return ReasonCold, false
	}
	if g.silent {
		g.lastProbeAt = now
	}
	g.openings = append(g.openings, now)
	if g.unanswered == 0 || now.Sub(g.lastUnansweredAt) > maxUnansweredGap {
		g.unanswered = 0
		g.firstUnansweredAt = now
	}
	g.unanswered++
	g.lastUnansweredAt = now
	return ReasonNone, true
}

// rateLimited reports whether the upstream is in a cold start with a stated rate.
func (g *gate) rateLimited(now hickorymodel.Instant) bool {
	return g.rampRate > 0 && now.Before(g.coldUntil)
}

func (g *gate) dropOldOpenings(now hickorymodel.Instant) {
	old := 0
	for old < len(g.openings) && now.Sub(g.openings[old]) >= gateWindow {
		old++
	}
	g.openings = append(g.openings[:0], g.openings[old:]...)
}

// recentOpenings returns the number of first packets that were delivered within the
// last period, which is at most gateWindow.
func (g *gate) recentOpenings(now hickorymodel.Instant, last time.Duration) int {
	count := 0
	for count < len(g.openings) && now.Sub(g.openings[len(g.openings)-1-count]) < last {
		count++
	}
	return count
}

// recordAnswer records that the upstream has sent something and reports whether it
// was silent before.
func (g *gate) recordAnswer(now hickorymodel.Instant) bool {
	g.unanswered = 0
	g.doubted = false
	if !g.silent {
		return false
	}
	g.silent = false
	g.startColdStart(now)
	return true
}

// startColdStart starts a cold start that may not be in the balancers' views yet.
func (g *gate) startColdStart(now hickorymodel.Instant) {
	g.coldUntil = max(g.coldUntil, now.Add(g.rampTime))
}

// detectChange sets silent when the upstream has left first packets unanswered for
// upstreamSilenceTime, and reports whether it has just done so. After a pause of the
// agent it waits for one more tick, in which the agent reads what has arrived.
func (g *gate) detectChange(now hickorymodel.Instant) bool {
	paused := g.checkedAt != 0 && now.Sub(g.checkedAt) > maxTickGap
	g.checkedAt = now
	if g.silent || g.unanswered < minSilentOpenings || now.Sub(g.firstUnansweredAt) < upstreamSilenceTime {
		return false
	}
	if paused && !g.doubted {
		g.doubted = true
		return false
	}
	g.silent = true
	g.lastProbeAt = now
	return true
}

// coldWait returns the time until the limit of a cold start admits a first packet behind
// a number of others; 0 without such a limit.
func (g *gate) coldWait(now hickorymodel.Instant, ahead int) time.Duration {
	if !g.rateLimited(now) {
		return 0
	}
	g.dropOldOpenings(now)
	limit := max(minColdFlows, int(g.rampRate))
	place := len(g.openings) + ahead
	if place < limit {
		return max(g.startedAt.Add(gateWindow).Sub(now), 0)
	}
	wait := time.Duration(place/limit) * gateWindow
	if at := place % limit; at < len(g.openings) {
		wait -= now.Sub(g.openings[at])
	}
	return wait
}
