package hickorytable

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Table is one immutable version of the service table. Several goroutines may
// read it at once.
type Table struct {
	// entries never change once the table has been built.
	entries   []*entry
	byAddress map[hickorymodel.ServiceAddress]*entry
}

// Choice is the result of a lookup.
type Choice struct {
	Service    hickoryid.ServiceNumber
	Generation hickorymodel.Generation
	// Transition is true while the owner of a flow may have been chosen with an older
	// table, and may therefore be another agent than the first candidate.
	Transition bool
	Candidates hickorymodel.CandidateList
	// Count is the number of entries of Candidates in use.
	Count int
}

// Choose fills in the candidates for a packet. It reports false when no
// service has the packet's destination address.
func (t *Table) Choose(now hickorymodel.Instant, key *hickorymodel.FlowKey, choice *Choice) bool {
	address := hickorymodel.ServiceAddress{Socket: key.Destination, Protocol: key.Protocol}
	e, ok := t.byAddress[address]
	if !ok {
		return false
	}
	choice.Service = e.number
	choice.Generation = e.generation
	choice.Transition = now.Before(e.transitionEnd)
	choice.Count = e.candidates(key.Hash(), &choice.Candidates)
	return true
}

// Service returns a service by number.
func (t *Table) Service(number hickoryid.ServiceNumber) (hickorymodel.Service, bool) {
	for _, e := range t.entries {
		if e.service.Number == number {
			return e.service, true
		}
	}
	return hickorymodel.Service{}, false
}

// Services returns all services in the order of their numbers.
func (t *Table) Services() []hickorymodel.Service {
	services := make([]hickorymodel.Service, 0, len(t.entries))
	for _, e := range t.entries {
		services = append(services, e.service)
	}
	return services
}
