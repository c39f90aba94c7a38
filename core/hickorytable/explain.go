package hickorytable

import "hickoryworks/core/hickorymodel"

// Explanation is the service, the bucket and the lookup result of a flow.
type Explanation struct {
	Service hickorymodel.Service
	Bucket  int
	Choice  Choice
}

// Explain returns the bucket and the candidates of a flow. It reports false when
// no service has the flow's destination address.
func (t *Table) Explain(now hickorymodel.Instant, key *hickorymodel.FlowKey) (Explanation, bool) {
	address := hickorymodel.ServiceAddress{Socket: key.Destination, Protocol: key.Protocol}
	e, ok := t.byAddress[address]
	if !ok {
		return Explanation{}, false
	}
	explanation := Explanation{Service: e.service, Bucket: int(key.Hash() & bucketMask)}
	return explanation, t.Choose(now, key, &explanation.Choice)
}
