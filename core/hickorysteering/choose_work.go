package hickorysteering

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"

	"hickoryworks/core/hickorychoice"
	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
)

const (
	// maxAsked is the number of agents that may return a first packet because another one
	// may have a free slot. Each costs a round trip, and three upstreams with what they
	// have just said give nearly the balance of all.
	maxAsked = firstRanks
	// returnedLife is how long the work that came with a returned packet is compared with
	// that of other agents that returned it.
	returnedLife = 50 * time.Millisecond
	// summaryLife is how long the sums over the upstreams of a service are used.
	summaryLife = 10 * time.Millisecond
)

// WithWorkRouting makes the balancer choose upstreams by their work, for routes with a
// target latency.
func WithWorkRouting(enabled bool) BalancerOption {
	return func(b *Balancer) {
		b.work.enabled = enabled
	}
}

// workRouting is what a balancer keeps for choices by work.
type workRouting struct {
	enabled bool
	// services has an entry for each service that a flow was opened to by work and that
	// the view names.
	services map[hickorydirectory.ServiceHash]*serviceWork
	// roundTrips are those to the agents of each zone.
	roundTrips zoneRoundTrips
	// last is the choice that was made last.
	last WorkChoice
}

// serviceWork sums up the upstreams of a service.
type serviceWork struct {
	summary hickorychoice.Service
	// summedAt is when summary was computed.
	summedAt   hickorymodel.Instant
	saturation hickorychoice.Saturation
	// saturated is the last state of saturation that was recorded as a decision.
	saturated bool
}

// WorkChoice is how an upstream was chosen by work.
type WorkChoice struct {
	hickorychoice.Decision
	// Away is true if another upstream that could have been chosen has a lower load by
	// count.
	Away bool
	// Saturated is true if the service was saturated.
	Saturated bool
}

// chooseUpstream chooses the upstream for a first packet, by work if the route has a target
// latency and agents of the service report their work, or else by count. It sets byWork and
// maxWait of the flow and b.work.last, which recordChoice and the recorded decision read.
func (b *Balancer) chooseUpstream(now hickorymodel.Instant, p *Packet, route *hickorydirectory.Route, service hickorydirectory.ServiceHash, f *flow) (*peer, float64) {
	b.work.last = WorkChoice{}
	f.maxWait = hickorychoice.NoLimit
	f.byWork = b.work.enabled && route.TargetLatency > 0
	if f.byWork {
		summary := b.summarize(now, service)
		f.byWork = summary.Informed()
	}
	if !f.byWork {
		return b.chooseByCount(now, p.Flow, service, &f.tried, b.random)
	}
	work := b.serviceWork(service)
	request := newWorkRequest(now, p, route, f, &work.saturation)
	chosen, choice := b.chooseByWork(now, request, service, f, b.random)
	if chosen == nil {
		return nil, 0
	}
	choice.Saturated = work.saturation.Saturated()
	b.work.last = choice
	f.maxWait = choice.MaxWait
	return chosen, chosen.load()
}

// workRequest is a first packet for which an upstream is chosen by work.
type workRequest struct {
	hickorychoice.Request
	flowHash uint64
	// destination is the service address.
	destination hickorymodel.SocketAddress
}

func newWorkRequest(now hickorymodel.Instant, p *Packet, route *hickorydirectory.Route, f *flow, saturation *hickorychoice.Saturation) workRequest {
	return workRequest{
		Request: hickorychoice.Request{
			TargetLatency: route.TargetLatency,
			Age:           firstPacketAge(now, p, f),
			Limited:       p.Copy == 0 && int(f.asked) < maxAsked && (f.asked > 0 || saturation.Asks()),
		},
		flowHash:    p.Flow.Hash(),
		destination: p.Flow.Destination,
	}
}

// chooseByWork returns the upstream for a first packet, or nil if there is none. Once
// enough agents have returned the packet, or none is left, it goes to the one of them that
// is expected to complete it first, and stays there: it never waits at two agents. It
// changes nothing but random.
func (b *Balancer) chooseByWork(now hickorymodel.Instant, request workRequest, service hickorydirectory.ServiceHash, f *flow, random *rand.Rand) (*peer, WorkChoice) {
	if int(f.asked) >= maxAsked && !f.settled {
		if chosen, choice := b.chooseReturned(now, request, service, f, random); chosen != nil {
			return chosen, choice
		}
	}
	if chosen, choice := b.chooseUntried(now, request, service, &b.serviceWork(service).summary, f, random); chosen != nil {
		return chosen, choice
	}
	if f.settled {
		return nil, WorkChoice{}
	}
	return b.chooseReturned(now, request, service, f, random)
}

// chooseUntried returns the best upstream that was not tried. Those that may not answer or
// are failing, and new ones, are chosen by count as a last resort.
func (b *Balancer) chooseUntried(now hickorymodel.Instant, request workRequest, service hickorydirectory.ServiceHash, summary *hickorychoice.Service, f *flow, random *rand.Rand) (*peer, WorkChoice) {
	avoidance := b.avoidance(now, request.destination, request.flowHash, service, random)
	var selection hickorychoice.Selection
	selection.Begin(summary, request.Request, random)
	var unsettled, lastResort choice
	lowest := math.Inf(1)
	peers := b.services[service]
	for i, p := range peers {
		if f.tried.has(p.endpoint) {
			continue
		}
		switch b.exclusion(now, p, avoidance) {
		case ExclusionNotAccepting, ExclusionBusy:
		case ExclusionUnanswering, ExclusionFailing:
			lastResort.consider(p, p.load())
		case ExclusionUnsettled:
			unsettled.consider(p, p.load())
		case ExclusionNone:
			candidate := b.adjustedCandidate(now, p, request.flowHash)
			selection.Consider(i, &candidate)
			lowest = min(lowest, p.load())
		}
	}
	decision := selection.Decide()
	switch {
	case decision.Index >= 0:
		chosen := peers[decision.Index]
		return chosen, WorkChoice{Decision: decision, Away: chosen.load() > lowest}
	case unsettled.peer != nil:
		return unsettled.peer, choiceByCount()
	case lastResort.peer != nil:
		return lastResort.peer, choiceByCount()
	default:
		return nil, WorkChoice{}
	}
}

func choiceByCount() WorkChoice {
	return WorkChoice{Decision: hickorychoice.Decision{Rule: hickorychoice.RuleCount, MaxWait: hickorychoice.NoLimit}}
}

// chooseReturned returns the upstream that is expected to complete the request first, among
// those whose agents have just returned the packet with their work.
func (b *Balancer) chooseReturned(now hickorymodel.Instant, request workRequest, service hickorydirectory.ServiceHash, f *flow, random *rand.Rand) (*peer, WorkChoice) {
	request.Limited = false
	var selection hickorychoice.Selection
	selection.Begin(&b.serviceWork(service).summary, request.Request, random)
	peers := b.services[service]
	for i, p := range peers {
		returned := f.tried.has(p.endpoint) && !f.unreturned.has(p.endpoint) && p.workAt != 0 && now.Sub(p.workAt) < returnedLife
		if !returned || !p.upstream.Accepting || b.mayNotAnswer(now, p) {
			continue
		}
		candidate := b.adjustedCandidate(now, p, request.flowHash)
		selection.Consider(i, &candidate)
	}
	decision := selection.Decide()
	if decision.Index < 0 {
		return nil, WorkChoice{}
	}
	decision.Rule = hickorychoice.RuleReturned
	return peers[decision.Index], WorkChoice{Decision: decision}
}

// recordChoice records that a first packet is sent to the chosen upstream.
func (b *Balancer) recordChoice(now hickorymodel.Instant, f *flow, chosen *peer) {
	chosen.sent.add(now, chosen.workAt)
	if !f.byWork {
		return
	}
	limited := f.maxWait != hickorychoice.NoLimit
	work := b.serviceWork(chosen.upstream.Service)
	if f.tried.count == 1 {
		work.saturation.Placed(limited)
	}
	if limited {
		f.asked++
		work.saturation.Asked()
		b.reportSaturation(work, chosen)
	}
	f.settled = f.settled || b.work.last.Rule == hickorychoice.RuleReturned
}

// recordReturned records the work of an upstream whose agent has returned a first packet
// because of the limit of its wait.
func (b *Balancer) recordReturned(from *peer, f *flow, reason Reason) {
	if f.byWork && reason == ReasonBusy && f.owner == from.endpoint && f.maxWait != hickorychoice.NoLimit {
		figures := from.figures(from.workAt)
		work := b.serviceWork(from.upstream.Service)
		work.saturation.Returned(figures.Wait, figures.ServiceTime)
		b.reportSaturation(work, from)
	}
}

// reportSaturation records that a service has become saturated or has room again; p is one
// of its upstreams.
func (b *Balancer) reportSaturation(work *serviceWork, p *peer) {
	if work.saturated == work.saturation.Saturated() {
		return
	}
	work.saturated = work.saturation.Saturated()
	step := StepServiceRelieved
	if work.saturated {
		step = StepServiceSaturated
	}
	b.recordDecision(&Decision{Step: step, Peer: p.endpoint, Upstream: p.upstream.ID, Load: p.load()})
}

// candidate returns what is known of an upstream.
func (b *Balancer) candidate(now hickorymodel.Instant, p *peer, flowHash uint64) hickorychoice.Candidate {
	return hickorychoice.Candidate{
		Figures:   p.figures(now),
		Known:     p.workAt != 0,
		Slots:     int(p.upstream.Slots),
		Sent:      p.sent.count(now, p.workAt),
		Idle:      max(p.flows-p.busy, 0),
		RoundTrip: b.work.roundTrips.get(p.upstream.Zone, p.upstream.Zone == b.zone),
		Local:     p.upstream.Zone == b.zone,
		Cold:      p.cold(now),
		Rank:      p.rank(flowHash),
	}
}

// adjustedCandidate returns what is known of an upstream, with the load that is added for
// its standing: a failing one answers quickly, and so seems to have little to do.
func (b *Balancer) adjustedCandidate(now hickorymodel.Instant, p *peer, flowHash uint64) hickorychoice.Candidate {
	candidate := b.candidate(now, p, flowHash)
	candidate.Sent += b.standingLoad(now, p) * max(float64(p.upstream.Slots), 1)
	return candidate
}

// serviceWork returns the sums over the upstreams of a service, which may be out of date.
// Those of a service that no flow was opened to by work are empty and are not kept.
func (b *Balancer) serviceWork(service hickorydirectory.ServiceHash) *serviceWork {
	if s, ok := b.work.services[service]; ok {
		return s
	}
	return &serviceWork{}
}

// summarize returns the sums over the upstreams of a service, and computes them again if
// they are older than summaryLife.
func (b *Balancer) summarize(now hickorymodel.Instant, service hickorydirectory.ServiceHash) *hickorychoice.Service {
	s, ok := b.work.services[service]
	if !ok {
		s = &serviceWork{}
		b.work.services[service] = s
	}
	if ok && now.Sub(s.summedAt) < summaryLife {
		return &s.summary
	}
	s.summedAt = now
	s.summary = b.sumUp(now, service, s.summary)
	return &s.summary
}

// sumUp returns the sums over the upstreams of a service; previous are the last ones.
func (b *Balancer) sumUp(now hickorymodel.Instant, service hickorydirectory.ServiceHash, previous hickorychoice.Service) hickorychoice.Service {
	summary := previous
	for _, p := range b.services[service] {
		if p.upstream.Accepting {
			candidate := b.candidate(now, p, 0)
			summary.Add(&candidate, p.busy)
		}
	}
	summary.Finish()
	for _, p := range b.services[service] {
		if p.upstream.Accepting {
			candidate := b.candidate(now, p, 0)
			summary.Observe(&candidate)
		}
	}
	summary.Settle()
	return summary
}

// dropServiceWork drops the sums of services that the view no longer names.
func (b *Balancer) dropServiceWork() {
	maps.DeleteFunc(b.work.services, func(service hickorydirectory.ServiceHash, _ *serviceWork) bool {
		return len(b.services[service]) == 0
	})
}

// Speeds calls visit with the speed of each upstream that a choice by work has considered,
// as a multiple of the mean of its service.
func (b *Balancer) Speeds(now hickorymodel.Instant, visit func(upstream *hickorydirectory.Upstream, speed float64)) {
	for service, s := range b.work.services {
		for _, p := range b.services[service] {
			if candidate := b.candidate(now, p, 0); candidate.Known {
				visit(&p.upstream, s.summary.Speed(&candidate))
			}
		}
	}
}

// helloReason tells agents whether the balancer understands reports with work.
func (b *Balancer) helloReason() Reason {
	if b.work.enabled {
		return ReasonWork
	}
	return ReasonNone
}
