package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// Tick does what is due.
func (a *Agent) Tick(now hickorymodel.Instant) []Action {
	a.actions = a.actions[:0]
	a.concludeWaiting(now)
	if a.gate.tick(now) {
		a.decided(&Decision{Step: StepUpstreamSilent, Count: a.gate.unanswered})
		a.reportAll(now)
	}
	if a.health.tick(now) {
		a.noteHealth(now)
	}
	interval := max(reportInterval, time.Second*time.Duration(len(a.balancers))/maxReportRate)
	for endpoint, balancer := range a.balancers {
		if now.Sub(balancer.heardAt) > balancerLife {
			delete(a.balancers, endpoint)
			continue
		}
		due := max(interval, idleReportInterval)
		if balancer.openedAt != 0 && now.Sub(balancer.openedAt) < activeTime {
			due = interval
		}
		if balancer.reportedAt == 0 || now.Sub(balancer.reportedAt) >= due {
			a.report(now, endpoint, balancer)
		}
	}
	if now.Sub(a.sweptAt) >= sweepInterval {
		a.sweptAt = now
		a.sweep(now)
	}
	return a.actions
}

// noteHealth tells the balancers that the upstream began or ceased to fail.
func (a *Agent) noteHealth(now hickorymodel.Instant) {
	step := StepUpstreamRecovered
	if a.health.failing {
		step = StepUpstreamFailing
	}
	a.decided(&Decision{Step: step, Count: a.health.current.failed + a.health.previous.failed})
	a.reportAll(now)
}

func (a *Agent) sweep(now hickorymodel.Instant) {
	a.followRequests(now)
	for key, f := range a.flows {
		life := agentFlowLife
		if f.callerEnded || f.upstreamEnded {
			life = endedFlowLife
		}
		if now.Sub(f.seenAt) > life {
			a.setBusy(f, false)
			delete(a.flows, key)
		}
	}
}

func (a *Agent) reportAll(now hickorymodel.Instant) {
	for endpoint, balancer := range a.balancers {
		a.report(now, endpoint, balancer)
	}
}

func (a *Agent) report(now hickorymodel.Instant, to hickorymodel.Endpoint, balancer *balancerRecord) {
	balancer.reportedAt = now
	action := frame(to, KindReport, ReasonNone, nil)
	action.Verb = VerbReport
	action.Header.Service = uint32(a.service)
	action.Addresses = a.openAddresses()
	action.Report = hickoryframe.Report{
		State:     uint8(a.state()),
		Addresses: uint8(len(action.Addresses)),
		Flows:     uint32(a.Flows()),
		Busy:      uint32(a.busy),
	}
	a.actions = append(a.actions, action)
}

func (a *Agent) state() State {
	switch {
	case a.stopping:
		return StateStopping
	case a.gate.silent:
		return StateSilent
	case a.health.failing:
		return StateFailing
	default:
		return StateAccepting
	}
}

// openAddresses returns the service addresses of open flows, without repeats.
func (a *Agent) openAddresses() []hickoryframe.Address {
	named := map[hickorymodel.SocketAddress]bool{}
	addresses := []hickoryframe.Address{}
	for key, f := range a.flows {
		if !f.open() || named[key.Destination] || len(addresses) == maxReportAddresses {
			continue
		}
		named[key.Destination] = true
		addresses = append(addresses, frameAddress(key.Destination))
	}
	return addresses
}
