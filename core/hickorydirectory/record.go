package hickorydirectory

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// upstreamRecord is what is known of one entry of the list.
type upstreamRecord struct {
	// listed is the last entry; it stays when the entry is removed, since open
	// flows still end there.
	listed   hickorymessage.ListedUpstream
	revision Revision
	// endpoint is zero when only the removal of the entry is known.
	endpoint hickorymodel.Endpoint
	// coldUntil is when the cold start of the last entry ends; 0 if it is warm.
	coldUntil hickorymodel.Instant
	// removedAt is when the removal became known; 0 while the entry exists.
	removedAt hickorymodel.Instant
	// lapsesAt is until when a removed entry still takes new flows, because the
	// list may have lost it while the store was away.
	lapsesAt hickorymodel.Instant
}

// accepting reports whether the entry lets the upstream take new flows.
func (r *upstreamRecord) accepting(now hickorymodel.Instant) bool {
	if r.listed.Leaving {
		return false
	}
	return r.removedAt == 0 || now.Before(r.lapsesAt)
}

// follows reports whether the entry is of a later upstream at the same endpoint.
// Starts that are published tell; revisions rise with other changes as well.
func (r *upstreamRecord) follows(other *upstreamRecord) bool {
	if r.listed.StartedAt != other.listed.StartedAt && r.listed.StartedAt != 0 && other.listed.StartedAt != 0 {
		return r.listed.StartedAt > other.listed.StartedAt
	}
	if (r.removedAt == 0) != (other.removedAt == 0) {
		return r.removedAt == 0
	}
	return r.revision > other.revision
}

// zoneRecord is what is known of one zone.
type zoneRecord struct {
	mark hickorymessage.ZoneMark
	// returnedAt is when the zone came back into service; 0 if it never left.
	returnedAt hickorymodel.Instant
}
