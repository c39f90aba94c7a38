package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorychoice"
	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Explanation says where a new flow would go now, and why.
type Explanation struct {
	// Version is the version of the configuration in force.
	Version int
	// Owner is the agent that packets of the flow go to if the flow is in the cache.
	Owner hickorymodel.Endpoint
	// Route is the name of the flow's route; it is empty if there is none.
	Route         string
	TargetLatency time.Duration
	Service       hickorydirectory.ServiceHash
	// ByWork is true if the choice is by work; otherwise it is by count.
	ByWork bool
	// Saturated is true if nearly all upstreams of the service are full.
	Saturated bool
	// Chosen is the upstream that gets the flow; it is empty if none takes new flows.
	// MaxWait is NoLimit of hickorychoice if its agent may not return the flow.
	Chosen     hickoryid.UpstreamID
	Rule       hickorychoice.Rule
	Completion time.Duration
	MaxWait    time.Duration
	// Candidates are the listed upstreams of the service, in the order of the view.
	Candidates []ExplainedCandidate
}

// ExplainedCandidate is what is known of one upstream.
type ExplainedCandidate struct {
	Upstream hickoryid.UpstreamID
	// Agent is the data socket of the agent beside the upstream.
	Agent hickorymodel.Endpoint
	Slots hickoryid.Slots
	// Flows is the number of open flows by the agent's last report.
	Flows int
	Zone  hickoryid.ZoneName
	// Excluded says why the upstream gets no new flows; it is empty if it may get some.
	Excluded Exclusion
	// Load is the load by count, in requests per slot.
	Load float64
	// Known is true if Figures are what the agent has said.
	Known   bool
	Figures hickorychoice.Figures
	// Speed is that of the upstream as a multiple of the mean of its service.
	Speed float64
	// Completion is the expected time until the first request of the flow is answered.
	Completion time.Duration
}

// Explain says where the first packet of a flow would go now. It changes no state: equal
// candidates are taken in their order, where a real choice draws among them.
func (b *Balancer) Explain(now hickorymodel.Instant, key hickorymodel.FlowKey) Explanation {
	route := b.view.Routes[key.Destination]
	if route == nil {
		return Explanation{Version: b.view.Version}
	}
	e := Explanation{Version: b.view.Version, Route: route.Name, TargetLatency: route.TargetLatency}
	if f, known := b.flows[key]; known {
		e.Owner = f.owner
	}
	service, ok := chooseService(route, key)
	if !ok {
		return e
	}
	e.Service = service
	summary := b.sumUp(now, service, b.serviceWork(service).summary)
	e.Saturated = b.serviceWork(service).saturation.Saturated()
	e.ByWork = b.work.enabled && route.TargetLatency > 0 && summary.Informed()
	e.Candidates = b.explainCandidates(now, key, service, &summary)
	b.explainChoice(now, key, route, &summary, &e)
	return e
}

func (b *Balancer) explainChoice(now hickorymodel.Instant, key hickorymodel.FlowKey, route *hickorydirectory.Route, summary *hickorychoice.Service, e *Explanation) {
	f := &flow{}
	if !e.ByWork {
		if chosen, _ := b.chooseByCount(now, key, e.Service, &f.tried, nil); chosen != nil {
			e.Chosen, e.Rule, e.MaxWait = chosen.upstream.ID, hickorychoice.RuleCount, hickorychoice.NoLimit
		}
		return
	}
	request := workRequest{
		Request:     hickorychoice.Request{TargetLatency: route.TargetLatency, Limited: !e.Saturated},
		flowHash:    key.Hash(),
		destination: key.Destination,
	}
	if chosen, choice := b.chooseUntried(now, request, e.Service, summary, f, nil); chosen != nil {
		e.Chosen, e.Rule, e.Completion, e.MaxWait = chosen.upstream.ID, choice.Rule, choice.Completion, choice.MaxWait
	}
}

func (b *Balancer) explainCandidates(now hickorymodel.Instant, key hickorymodel.FlowKey, service hickorydirectory.ServiceHash, summary *hickorychoice.Service) []ExplainedCandidate {
	hash := key.Hash()
	avoidance := b.avoidance(now, key.Destination, hash, service, nil)
	candidates := []ExplainedCandidate{}
	for _, p := range b.services[service] {
		c := b.candidate(now, p, hash)
		explained := ExplainedCandidate{
			Upstream: p.upstream.ID, Agent: p.endpoint, Slots: p.upstream.Slots, Flows: p.flows, Zone: p.upstream.Zone,
			Excluded: b.exclusion(now, p, avoidance),
			Load:     p.load(), Known: c.Known,
			Speed: summary.Speed(&c), Completion: summary.Completion(&c),
		}
		if c.Known {
			explained.Figures = c.Figures
		}
		candidates = append(candidates, explained)
	}
	return candidates
}
