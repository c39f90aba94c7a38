package hickorysteering

import "hickoryworks/core/hickorymodel"

// reportBurst is the number of reports that may be sent at once before they are due.
const reportBurst = 10

// reportBudget is a token bucket for the reports that are sent before they are due. All
// reports take from it, so that together they stay within maxReportRate.
type reportBudget struct {
	// credit is at most reportBurst and at least -reportBurst.
	credit   float64
	filledAt hickorymodel.Instant
}

func (r *reportBudget) fill(now hickorymodel.Instant) {
	r.credit = min(r.credit+now.Sub(r.filledAt).Seconds()*maxReportRate, reportBurst)
	r.filledAt = now
}

// available reports whether a report may be sent before it is due.
func (r *reportBudget) available(now hickorymodel.Instant) bool {
	r.fill(now)
	return r.credit >= 1
}

// spend takes a report from the bucket, also from an empty one.
func (r *reportBudget) spend(now hickorymodel.Instant) {
	r.fill(now)
	r.credit = max(r.credit-1, -reportBurst)
}
