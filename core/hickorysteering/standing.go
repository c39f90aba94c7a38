package hickorysteering

import (
	"math"
	"math/rand/v2"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickoryhealth"
	"hickoryworks/core/hickorymodel"
)

const (
	// probationShare and lateProbationShare are the shares of new flows for which an
	// upstream in probation is chosen like any other.
	probationShare     = 1.0 / 8
	lateProbationShare = 1.0 / 2
	// maxAvoidedShare is the share of a service's upstreams that are avoided at most,
	// since the others must be able to take over their load.
	maxAvoidedShare = 0.34
	// failingLoad is added to the load of a failing upstream. When failing ones are not
	// avoided, because they are too many, they get flows once the others have that much
	// more load.
	failingLoad = 1.0
	// unansweringLoad is added to the load of an upstream that may not answer, so that
	// it is the last of the last resort.
	unansweringLoad = 2.0
)

// standing returns the upstream's standing by the agent's last report.
func (p *peer) standing(now hickorymodel.Instant) hickoryhealth.Standing {
	if now.Sub(p.reportedAt) > reportLife {
		return hickoryhealth.Good
	}
	switch p.state {
	case StateFailing:
		return hickoryhealth.Excluded
	case StateProbation:
		return hickoryhealth.Probation
	case StateLateProbation:
		return hickoryhealth.LateProbation
	default:
		return hickoryhealth.Good
	}
}

// avoidance says which upstreams of a service a new flow avoids.
type avoidance struct {
	failing   bool
	probation bool
	late      bool
}

// avoids reports whether upstreams of a standing are chosen only as a last resort.
func (a avoidance) avoids(standing hickoryhealth.Standing) bool {
	switch standing {
	case hickoryhealth.Excluded:
		return a.failing
	case hickoryhealth.Probation:
		return a.probation
	case hickoryhealth.LateProbation:
		return a.late
	default:
		return false
	}
}

// avoidance decides which upstreams of a service a new flow avoids. Of too many
// upstreams that are not in good standing, first those in probation are not avoided,
// then none.
func (b *Balancer) avoidance(now hickorymodel.Instant, address hickorymodel.SocketAddress, flowHash uint64, service hickorydirectory.ServiceHash, random *rand.Rand) avoidance {
	accepting, failing, probation := 0, 0, 0
	for _, p := range b.services[service] {
		if !p.upstream.Accepting {
			continue
		}
		accepting++
		switch p.standing(now) {
		case hickoryhealth.Good:
		case hickoryhealth.Excluded:
			failing++
		case hickoryhealth.Probation, hickoryhealth.LateProbation:
			probation++
		}
	}
	limit := maxAvoidedShare * float64(accepting)
	decided := avoidance{failing: failing > 0 && float64(failing) <= limit}
	if probation > 0 && float64(failing+probation) <= limit {
		draw := b.drawProbation(address, flowHash, service, random)
		decided.probation = draw >= probationShare
		decided.late = draw >= lateProbationShare
	}
	return decided
}

// drawProbation returns a number from 0 to 1 that decides whether a new flow may go to an
// upstream in probation. It is random, or taken from the hash of the flow if random is
// nil. Flows of routes whose requests can't be repeated may not go there, if other routes
// to the service can show that it has recovered.
func (b *Balancer) drawProbation(address hickorymodel.SocketAddress, flowHash uint64, service hickorydirectory.ServiceHash, random *rand.Rand) float64 {
	route := b.view.Routes[address]
	if route != nil && !route.Idempotent && b.idempotentServices[service] {
		return 1
	}
	if random == nil {
		return float64(flowHash) / math.MaxUint64
	}
	return random.Float64()
}

// standingLoad returns the load that is added for the standing of an upstream.
func (b *Balancer) standingLoad(now hickorymodel.Instant, p *peer) float64 {
	if b.mayNotAnswer(now, p) {
		return unansweringLoad
	}
	if p.standing(now) == hickoryhealth.Excluded {
		return failingLoad
	}
	return 0
}

// idempotentServices returns the services that get flows of a route with idempotent
// requests.
func idempotentServices(view *hickorydirectory.View) map[hickorydirectory.ServiceHash]bool {
	services := map[hickorydirectory.ServiceHash]bool{}
	for _, route := range view.Routes {
		for _, target := range route.Targets {
			if route.Idempotent {
				services[target.Service] = true
			}
		}
	}
	return services
}
