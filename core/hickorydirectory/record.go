package hickorydirectory

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// upstreamRecord is the state of one entry of the list of upstreams.
type upstreamRecord struct {
	// listed is the last entry. It stays when the entry is removed, since the
	// upstream may still hold open flows.
	listed   hickorymessage.ListedUpstream
	revision Revision
	// endpoint is zero when only the removal of the entry is known.
	endpoint hickorymodel.Endpoint
	// coldUntil is when the cold start of the last entry ends; 0 if it is warm.
	coldUntil hickorymodel.Instant
	// removedAt is when the removal became known; 0 while the entry exists.
	removedAt hickorymodel.Instant
	// usableUntil is the time until which the upstream of a removed entry still
	// gets new flows, because the entry may have expired while the store was not
	// available; 0 if that is not the case.
	usableUntil hickorymodel.Instant
}

// accepting reports whether the upstream may get new flows according to its entry.
func (r *upstreamRecord) accepting(now hickorymodel.Instant) bool {
	if r.listed.Leaving {
		return false
	}
	return r.removedAt == 0 || now.Before(r.usableUntil)
}

// isNewerThan reports whether the entry is of a later upstream at the same
// endpoint. The published starts decide if both are known, since revisions also
// rise with other changes. Without them, an entry that exists is newer than a
// removed one.
func (r *upstreamRecord) isNewerThan(other *upstreamRecord) bool {
	if r.listed.StartedAt != other.listed.StartedAt && r.listed.StartedAt != 0 && other.listed.StartedAt != 0 {
		return r.listed.StartedAt > other.listed.StartedAt
	}
	if (r.removedAt == 0) != (other.removedAt == 0) {
		return r.removedAt == 0
	}
	return r.revision > other.revision
}

// zoneRecord is the state of one zone.
type zoneRecord struct {
	mark hickorymessage.ZoneMark
	// returnedAt is when the zone returned to service; 0 if it was never out of
	// service.
	returnedAt hickorymodel.Instant
}
