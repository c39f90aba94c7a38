package hickoryadmission

import (
	"math"

	"hickoryworks/core/hickorymodel"
)

// reportSteps is the number of steps to which reports are rounded down. It
// limits how often successively lower reports can reset extraOpenings.
const reportSteps = 64

// ceiling is the largest opening limit that the upstream's health and load
// endpoints allow. Their reports may be late or wrong, so a low report loses
// its effect step by step while the upstream answers openings.
type ceiling struct {
	// share is the last reported share of the full capacity, between 0 and 1.
	share float64
	// lowest is the lowest report since the last one of full capacity.
	lowest float64
	// extraOpenings is the number of openings that completed openings have
	// added to the reported limit.
	extraOpenings int
	// completed counts openings that have completed since extraOpenings last
	// rose.
	completed int
	// lastRise is the time at which extraOpenings last rose or was reset after
	// a timeout.
	lastRise hickorymodel.Instant
}

func newCeiling() ceiling {
	return ceiling{share: 1, lowest: 1}
}

// limit returns the ceiling in openings; full is the opening limit of a warm
// upstream. The ceiling is at least coldOpenings: reports cannot lower the limit
// further, so that there only the upstream's answers to openings change it.
func (c *ceiling) limit(full int) int {
	return min(max(int(c.share*float64(full)), coldOpenings)+c.extraOpenings, full)
}

// applyReport applies a reported share. Only a report lower than all since the
// last one of full capacity resets extraOpenings, so that reports that
// alternate between low values do not starve the upstream.
func (c *ceiling) applyReport(share float64) {
	if math.IsNaN(share) || share >= 1 {
		*c = ceiling{share: 1, lowest: 1, lastRise: c.lastRise}
		return
	}
	c.share = math.Floor(max(share, 0)*reportSteps) / reportSteps
	if c.share < c.lowest {
		c.lowest = c.share
		c.extraOpenings = 0
		c.completed = 0
	}
}

// clearExtraOpenings resets extraOpenings after an opening has timed out, which
// confirms a low report.
func (c *ceiling) clearExtraOpenings(now hickorymodel.Instant) {
	c.extraOpenings = 0
	c.completed = 0
	c.lastRise = now
}

// SetCeiling applies the share of its full capacity that the upstream's health
// and load endpoints report. It only lowers the limit.
func (g *Gate) SetCeiling(share float64) {
	g.ceiling.applyReport(share)
}

// lowered reports whether the reports keep the limit below openingLimit, which
// the upstream's answers have confirmed.
func (g *Gate) lowered() bool {
	return g.limit() < g.openingLimit
}

// advanceCeiling raises the ceiling by one opening when the upstream has
// answered as many openings as the lowered limit, but not faster than in a slow
// start.
func (g *Gate) advanceCeiling(now hickorymodel.Instant) {
	c := &g.ceiling
	if !g.lowered() || !g.provenCeiling() || now.Sub(c.lastRise) < g.riseInterval() {
		return
	}
	c.extraOpenings++
	c.completed = 0
	c.lastRise = now
}

// provenCeiling reports whether the upstream has handled the lowered limit: it
// answered as many openings, or all flows that the limit admits are open, since
// no further opening can complete then.
func (g *Gate) provenCeiling() bool {
	return g.ceiling.completed >= g.limit() || g.openings == 0 && g.flows >= g.flowLimit()
}
