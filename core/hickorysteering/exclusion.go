package hickorysteering

import "hickoryworks/core/hickorymodel"

// Exclusion is a reason for which an upstream gets no new flow, or only as a last resort.
type Exclusion string

// Exclusions.
const (
	ExclusionNone         Exclusion = ""
	ExclusionNotAccepting Exclusion = "notAccepting"
	ExclusionBusy         Exclusion = "busy"
	ExclusionUnanswering  Exclusion = "unanswering"
	ExclusionFailing      Exclusion = "failing"
	ExclusionUnsettled    Exclusion = "unsettled"
)

// exclusion returns why an upstream gets no new flow, or only if no other is left.
func (b *Balancer) exclusion(now hickorymodel.Instant, p *peer, avoidance avoidance) Exclusion {
	switch {
	case !p.upstream.Accepting:
		return ExclusionNotAccepting
	case now.Before(p.busyUntil):
		return ExclusionBusy
	case b.mayNotAnswer(now, p):
		return ExclusionUnanswering
	case avoidance.avoids(p.standing(now)):
		return ExclusionFailing
	case now.Before(p.settledAt):
		return ExclusionUnsettled
	default:
		return ExclusionNone
	}
}
