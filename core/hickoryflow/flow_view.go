package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickorymessage"
)

// LookUpFlow returns whether the agent owns or claims a flow or has a redirect
// entry for it, and the flow's owner when it is known.
func (t *Tracker) LookUpFlow(now hickorymodel.Instant, key hickorymodel.FlowKey) (hickorymessage.FlowView, hickorymodel.Endpoint) {
	if t.flows.find(&key) != nil {
		return hickorymessage.FlowViewOwn, t.self
	}
	if _, pending := t.claims.byKey[key]; pending {
		return hickorymessage.FlowViewClaiming, hickorymodel.Endpoint{}
	}
	if owner, ok := t.redirects.find(now, key); ok {
		return hickorymessage.FlowViewRedirected, owner
	}
	return hickorymessage.FlowViewUnknown, hickorymodel.Endpoint{}
}

// Explain returns the bucket and the candidates of a flow in this agent's
// table. It reports false when no service has the flow's destination address,
// or before the first SetService.
func (t *Tracker) Explain(now hickorymodel.Instant, key hickorymodel.FlowKey) (hickorytable.Explanation, bool) {
	if t.table == nil {
		return hickorytable.Explanation{}, false
	}
	return t.table.Explain(now, &key)
}
