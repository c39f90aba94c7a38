package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// NeedsList reports whether the agent must read the instance list: it has just
// started, or none of the balancers in nearest answers.
func (f *Follower) NeedsList(now hickorymodel.Instant) bool {
	return f.team == "" || !now.Before(f.FreshUntil(now))
}

// updateNearest replaces the balancers from which peers are chosen. The one that
// answered is kept, since a reply does not name its sender.
func (f *Follower) updateNearest(source hickoryid.Endpoint, entries []hickorymessage.BalancerEntry) {
	if len(entries) == 0 {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(f.nearest), func(peer Peer) bool { return peer.Control != source })
	for _, entry := range entries {
		peer := Peer{ID: entry.Instance, Zone: entry.Zone, Region: entry.Region, Control: entry.Control}
		if !slices.Contains(kept, peer) {
			kept = append(kept, peer)
		}
	}
	f.nearest = kept
}
