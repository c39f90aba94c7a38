package hickoryflow

import "hickoryworks/core/hickorymodel"

// SetPredecessor makes the agent accept its predecessor's endpoint beside its
// own during a planned restart. In its messages the agent uses the endpoint
// that its section states.
func (t *Tracker) SetPredecessor(predecessor hickorymodel.Endpoint) {
	t.predecessor = predecessor
	t.updateSelf()
	t.updateAccepting()
}

// ClearPredecessor ends the use of the predecessor's endpoint, after the last
// packet has arrived through it.
func (t *Tracker) ClearPredecessor() {
	t.predecessor = hickorymodel.Endpoint{}
	t.updateSelf()
	t.updateAccepting()
}

// Self returns the endpoint that the section in force states for the agent.
func (t *Tracker) Self() hickorymodel.Endpoint {
	return t.self
}

func (t *Tracker) updateSelf() {
	t.self = t.ownEndpoint
	for i := range t.service.Upstreams {
		upstream := &t.service.Upstreams[i]
		if upstream.ID == t.upstream && upstream.Endpoint == t.predecessor {
			t.self = t.predecessor
		}
	}
	_, t.ownExcluded = t.excluded[t.self]
}

func (t *Tracker) isSelf(endpoint hickorymodel.Endpoint) bool {
	return endpoint == t.ownEndpoint || (endpoint == t.predecessor && !endpoint.IsZero())
}

func (t *Tracker) listedIn(list *hickorymodel.CandidateList) bool {
	return list.Index(t.ownEndpoint) >= 0 || (!t.predecessor.IsZero() && list.Index(t.predecessor) >= 0)
}
