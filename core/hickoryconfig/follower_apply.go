package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// apply puts the service of the agent in force, without its refused addresses.
// These are refused because of other sections, which the agent does not hold.
func (f *Follower) apply() {
	accepted, held := f.store.Effective(f.minVersions)[f.team]
	if !f.changed || !held {
		return
	}
	f.changed = false
	services, _ := Resolve(map[hickoryid.TeamName]Accepted{f.team: accepted}, f.marks.states())
	for _, service := range services {
		if service.Name == f.service {
			service.Addresses = slices.DeleteFunc(service.Addresses, f.isRefused)
			f.actions = append(f.actions, Action{Verb: VerbApply, Services: []hickorymodel.Service{service}})
		}
	}
}

func (f *Follower) isRefused(address hickorymodel.ServiceAddress) bool {
	for _, refused := range f.refused {
		if refused.Endpoint == address.Socket.ID() && refused.Protocol == int(address.Protocol) {
			return true
		}
	}
	return false
}

func (f *Follower) logFreshness(now hickorymodel.Instant) {
	fresh := now.Before(f.FreshUntil(now))
	if fresh == f.fresh {
		return
	}
	f.fresh = fresh
	kind := LogStale
	if fresh {
		kind = LogFresh
	}
	f.actions = append(f.actions, Action{Verb: VerbLog, LogEntry: LogEntry{Kind: kind}})
}
