package hickorytable

import (
	"slices"
	"sort"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// TransitionTime is the time after a change of a service during which the owner of
// a flow may have been chosen with an older table. A caller's operating system
// retransmits the first packet of a flow for about 63 s, and the owner must be
// found for as long.
const TransitionTime = 75 * time.Second

// Builder builds tables, each from the services in force and the previous table.
type Builder struct {
	started hickorymodel.Instant
	// current has the entries of the last table.
	current map[hickoryid.ServiceNumber]*entry
}

// NewBuilder returns a builder for a process that started at the given time.
func NewBuilder(started hickorymodel.Instant) *Builder {
	return &Builder{started: started, current: map[hickoryid.ServiceNumber]*entry{}}
}

// Build returns the table for the given services. Entries of services that have
// not changed are shared with the previous table.
func (b *Builder) Build(now hickorymodel.Instant, services []hickorymodel.Service) *Table {
	table := &Table{byAddress: map[hickorymodel.ServiceAddress]*entry{}}
	next := make(map[hickoryid.ServiceNumber]*entry, len(services))
	for _, service := range services {
		e := b.buildEntry(now, service)
		next[service.Number] = e
		table.entries = append(table.entries, e)
		for _, address := range service.Addresses {
			table.byAddress[address] = e
		}
	}
	sort.Slice(table.entries, func(i, j int) bool {
		return table.entries[i].service.Number < table.entries[j].service.Number
	})
	b.current = next
	return table
}

func (b *Builder) buildEntry(now hickorymodel.Instant, service hickorymodel.Service) *entry {
	previous := b.current[service.Number]
	if previous != nil && !previous.retirementDue(now) && sameService(&previous.service, &service) {
		return previous
	}
	e := &entry{service: service, members: currentMembers(service)}
	e.members = append(e.members, retiredMembers(now, service, previous)...)
	sort.Slice(e.members, func(i, j int) bool {
		return e.members[i].compare(&e.members[j]) < 0
	})
	e.recordStoppedAccepting(now, previous)
	e.transitionEnd = b.transitionEnd(now, e, previous)
	e.prepareLookup(previous)
	return e
}

// transitionEnd returns the time until which the owners of flows may have been
// chosen with an older table. A change of the set or the state of the members
// starts a new transition. A process that has just started has no older tables to
// compare with, so all of its entries are in transition.
func (b *Builder) transitionEnd(now hickorymodel.Instant, e, previous *entry) hickorymodel.Instant {
	if previous == nil {
		return b.started.Add(TransitionTime)
	}
	if slices.Equal(e.members, previous.members) {
		return previous.transitionEnd
	}
	return now.Add(TransitionTime)
}

// sameService compares two services field by field, which is much faster than
// package reflect.
func sameService(a, b *hickorymodel.Service) bool {
	return a.Name == b.Name &&
		a.Team == b.Team &&
		a.Number == b.Number &&
		a.Generation == b.Generation &&
		slices.Equal(a.Addresses, b.Addresses) &&
		slices.Equal(a.Upstreams, b.Upstreams) &&
		slices.Equal(a.ExcludedZones, b.ExcludedZones) &&
		a.Slots == b.Slots &&
		a.Connections == b.Connections &&
		a.RampTime == b.RampTime &&
		a.OpeningTimeout == b.OpeningTimeout
}

// recordStoppedAccepting sets the time at which each member stopped accepting new
// flows; a time recorded in the previous entry stays.
func (e *entry) recordStoppedAccepting(now hickorymodel.Instant, previous *entry) {
	stoppedAt := map[hickorymodel.Endpoint]hickorymodel.Instant{}
	if previous != nil {
		for _, m := range previous.members {
			stoppedAt[m.upstream.Endpoint] = m.stoppedAcceptingAt
		}
	}
	for i := range e.members {
		m := &e.members[i]
		m.stoppedAcceptingAt = 0
		if m.candidateState() == hickorymodel.CandidateAccepting {
			continue
		}
		m.stoppedAcceptingAt = stoppedAt[m.upstream.Endpoint]
		if m.stoppedAcceptingAt == 0 {
			m.stoppedAcceptingAt = now
		}
	}
}

func currentMembers(service hickorymodel.Service) []member {
	members := make([]member, 0, len(service.Upstreams))
	for _, upstream := range service.Upstreams {
		if upstream.State == hickorymodel.UpstreamExcluded {
			continue
		}
		members = append(members, member{upstream: upstream, score: upstreamScore(upstream.ID)})
	}
	return members
}

// retiredMembers returns the members that the section no longer names. They stay
// for TransitionTime, so that their flows are found until their agents have
// registered them with other agents.
func retiredMembers(now hickorymodel.Instant, service hickorymodel.Service, previous *entry) []member {
	if previous == nil {
		return nil
	}
	var retired []member
	for _, m := range previous.members {
		if hasEndpoint(service, m.upstream) || slices.Contains(service.ExcludedZones, m.upstream.Zone) {
			continue
		}
		if !m.retired {
			m.retired = true
			m.retireEnd = now.Add(TransitionTime)
		}
		if now.Before(m.retireEnd) {
			retired = append(retired, m)
		}
	}
	return retired
}

// hasEndpoint reports whether the service has an upstream with the endpoint of the
// given one. It ignores the id: an id may pass to another upstream while the flows
// stay with the former one.
func hasEndpoint(service hickorymodel.Service, upstream hickorymodel.Upstream) bool {
	for i := range service.Upstreams {
		if service.Upstreams[i].Endpoint == upstream.Endpoint {
			return true
		}
	}
	return false
}

func (e *entry) retirementDue(now hickorymodel.Instant) bool {
	for i := range e.members {
		if e.members[i].retired && !now.Before(e.members[i].retireEnd) {
			return true
		}
	}
	return false
}
