package hickoryflow

import "hickoryworks/core/hickorymodel"

// SetPredecessor makes the agent answer to its predecessor's endpoint beside its own.
// Other agents know it by the one that their section names.
func (t *Tracker) SetPredecessor(predecessor hickorymodel.Endpoint) {
	t.predecessor = predecessor
	t.chooseSelf()
	t.updateAccepting()
}

// ClearPredecessor says that nothing arrives through the predecessor any more.
func (t *Tracker) ClearPredecessor() {
	t.predecessor = hickorymodel.Endpoint{}
	t.chooseSelf()
	t.updateAccepting()
}

// Self returns the endpoint that other agents know the agent by.
func (t *Tracker) Self() hickorymodel.Endpoint {
	return t.self
}

func (t *Tracker) chooseSelf() {
	t.self = t.own
	for i := range t.service.Upstreams {
		upstream := &t.service.Upstreams[i]
		if upstream.ID == t.upstream && upstream.Endpoint == t.predecessor {
			t.self = t.predecessor
		}
	}
	_, t.ownExcluded = t.excluded[t.self]
}

func (t *Tracker) isSelf(endpoint hickorymodel.Endpoint) bool {
	return endpoint == t.own || (endpoint == t.predecessor && !endpoint.IsZero())
}

func (t *Tracker) listedIn(list *hickorymodel.CandidateList) bool {
	return list.Index(t.own) >= 0 || (!t.predecessor.IsZero() && list.Index(t.predecessor) >= 0)
}
