package hickoryflow

import (
	"slices"

	"hickoryworks/core/hickorymodel"
)

// maxZones is the largest number of agents in zones. When it would be exceeded,
// agents that the section no longer names are removed.
const maxZones = 4096

// setExcluded updates the agents whose zones are out of service. It includes
// agents that only former versions of the section named: lists and redirect
// entries may still contain them.
func (t *Tracker) setExcluded(service hickorymodel.Service) {
	if len(t.zones)+len(service.Upstreams) > maxZones {
		clear(t.zones)
		clear(t.lastReceived)
	}
	for _, upstream := range service.Upstreams {
		t.zones[upstream.Endpoint] = upstream.Zone
	}
	clear(t.excluded)
	for endpoint, zone := range t.zones {
		if slices.Contains(service.ExcludedZones, zone) {
			t.excluded[endpoint] = struct{}{}
		}
	}
	for _, upstream := range service.Upstreams {
		if upstream.State == hickorymodel.UpstreamExcluded {
			t.excluded[upstream.Endpoint] = struct{}{}
		}
	}
	t.redirects.removeOwners(t.excluded)
	t.queriers.removeOwners(t.excluded)
	wasExcluded := t.ownExcluded
	_, t.ownExcluded = t.excluded[t.self]
	if wasExcluded && !t.ownExcluded {
		t.returnedAt = t.calledAt
	}
	if t.ownExcluded {
		t.endFlows(func(*record) bool { return true })
	}
}

// endFlows ends the owned flows that match. The flows of a zone that goes out
// of service end, because other agents may become their owners before the zone
// returns.
func (t *Tracker) endFlows(match func(*record) bool) {
	for i := range t.flows.records {
		r := &t.flows.records[i]
		if r.state != flowFree && match(r) {
			t.end(r)
		}
	}
}

// maskExcluded keeps new flows from agents whose zones are out of service,
// although the list of the packet names them as accepting. It reports whether there
// were such agents.
func (t *Tracker) maskExcluded(p *Packet) bool {
	masked := false
	for i := range p.Candidates.Len() {
		candidate := &p.Candidates[i]
		if _, excluded := t.excluded[candidate.Endpoint]; excluded && candidate.State == hickorymodel.CandidateAccepting {
			candidate.State = hickorymodel.CandidateOwnerOnly
			masked = true
		}
	}
	return masked
}
