package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// Tick does the periodic work of the agent: it detects silence and failure of the
// upstream, sends the reports that are due and removes old flows from the cache.
func (a *Agent) Tick(now hickorymodel.Instant) []Action {
	a.actions = a.actions[:0]
	a.presumeUnreturnedFlows(now)
	if a.gate.detectChange(now) {
		a.onDecision(&Decision{Step: StepUpstreamSilent, Count: a.gate.unanswered})
		a.returnWaiting(now, ReasonSilent)
		a.reportAll(now)
	}
	a.countOverdue(now)
	a.advanceHealth(now)
	for endpoint, balancer := range a.balancers {
		if now.Sub(balancer.lastFrameAt) > balancerTimeout {
			delete(a.balancers, endpoint)
			continue
		}
		if balancer.lastReportAt == 0 || now.Sub(balancer.lastReportAt) >= a.reportInterval(now, balancer) {
			a.report(now, endpoint, balancer)
		}
	}
	if now.Sub(a.sweptAt) >= sweepInterval {
		a.sweptAt = now
		a.sweep(now)
	}
	a.releaseWaiting(now)
	return a.actions
}

// reportInterval returns the time between two reports to a balancer.
func (a *Agent) reportInterval(now hickorymodel.Instant, balancer *balancerRecord) time.Duration {
	count := time.Duration(len(a.balancers))
	interval := max(reportInterval, time.Second*count/maxReportRate)
	switch {
	case !balancer.active(now):
		return max(interval, idleReportInterval)
	case now.Sub(balancer.firstFrameAt) < startReportTime:
		return min(interval, max(TickInterval, time.Second*count/startReportRate))
	default:
		return interval
	}
}

func (a *Agent) sweep(now hickorymodel.Instant) {
	a.expireRequests(now)
	a.sweepProbes(now)
	for key, f := range a.flows {
		life := a.flowLife
		if f.ended() {
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
	balancer.lastReportAt = now
	a.sendReport(now, to, balancer, a.openAddresses())
}

func (a *Agent) sendReport(now hickorymodel.Instant, to hickorymodel.Endpoint, balancer *balancerRecord, addresses []hickoryframe.Address) {
	action := frameAction(to, KindReport, ReasonNone, nil)
	action.Verb = VerbReport
	action.Header.Service = uint32(a.service)
	action.Addresses = addresses
	action.Report = hickoryframe.Report{
		State:     uint8(a.state()),
		Addresses: uint8(len(action.Addresses)),
		Features:  uint16(a.features()),
		Flows:     uint32(a.Flows()),
		Busy:      uint32(a.busy),
	}
	a.addWork(now, balancer, &action)
	a.actions = append(a.actions, action)
}

func (a *Agent) state() State {
	switch {
	case a.stopping:
		return StateStopping
	case a.gate.silent:
		return StateSilent
	default:
		return standingStates[a.health.monitor.Standing()]
	}
}

// openAddresses returns the service addresses of open flows, without duplicates and
// at most maxReportAddresses.
func (a *Agent) openAddresses() []hickoryframe.Address {
	listedAddresses := map[hickorymodel.SocketAddress]bool{}
	addresses := []hickoryframe.Address{}
	for key, f := range a.flows {
		if !f.open() || listedAddresses[key.Destination] || len(addresses) == maxReportAddresses {
			continue
		}
		listedAddresses[key.Destination] = true
		addresses = append(addresses, frameAddress(key.Destination))
	}
	return addresses
}
