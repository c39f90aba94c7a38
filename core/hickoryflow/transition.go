package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
)

// markTransition treats a flow as in transition when the balancer used an older
// table than this agent's and the candidates differ. An agent that is not in
// the balancer's table may own the flow.
func (t *Tracker) markTransition(now hickorymodel.Instant, p *Packet) {
	if p.Generation >= t.service.Generation || p.Flags.Has(FlagTransition) {
		return
	}
	for _, candidate := range t.ownCandidates(now, &p.Key) {
		if p.Candidates.Index(candidate.Endpoint) < 0 && !t.isSelf(candidate.Endpoint) {
			p.Flags |= FlagTransition
			return
		}
	}
	if p.Candidates[0].Endpoint != t.ownHome(now, &p.Key) {
		p.Flags |= FlagTransition
	}
}

// ownCandidates returns the candidates of a flow in this agent's table. A
// missing reply of those that take no new flows counts as not owning the flow,
// as in queryAlso: a predecessor that the section no longer names may have
// ended.
func (t *Tracker) ownCandidates(now hickorymodel.Instant, key *hickorymodel.FlowKey) []hickorymodel.Candidate {
	var choice hickorytable.Choice
	if t.table == nil || !t.table.Choose(now, key, &choice) {
		return nil
	}
	candidates := choice.Candidates[:choice.Count]
	for i := range candidates {
		if candidates[i].State == hickorymodel.CandidateOwnerOnly {
			candidates[i].State = hickorymodel.CandidateSuspected
		}
	}
	return candidates
}

// ownHome returns the first candidate of a flow in this agent's table.
func (t *Tracker) ownHome(now hickorymodel.Instant, key *hickorymodel.FlowKey) hickorymodel.Endpoint {
	candidates := t.ownCandidates(now, key)
	if len(candidates) == 0 {
		return hickorymodel.Endpoint{}
	}
	return candidates[0].Endpoint
}
