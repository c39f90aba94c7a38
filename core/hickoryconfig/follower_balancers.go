package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// NeedsList reports whether the agent must read the instance list: it has just
// started, or no balancer that it knows of has answered.
func (f *Follower) NeedsList(now hickorymodel.Instant) bool {
	return f.team == "" || !now.Before(f.FreshUntil(now))
}

// takeNear replaces the balancers to choose from. The one that answered stays,
// since it does not name itself.
func (f *Follower) takeNear(source hickoryid.Endpoint, entries []hickorymessage.BalancerEntry) {
	if len(entries) == 0 {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(f.near), func(peer Peer) bool { return peer.Control != source })
	for _, entry := range entries {
		peer := Peer{ID: entry.Instance, Zone: entry.Zone, Region: entry.Region, Control: entry.Control}
		if !slices.Contains(kept, peer) {
			kept = append(kept, peer)
		}
	}
	f.near = kept
}
