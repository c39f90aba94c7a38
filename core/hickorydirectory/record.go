package hickorydirectory

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
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
	// addressUnknown is true if the entry exists, but could not be parsed at any of its
	// revisions. Another balancer may have read its address before; it is false once one
	// has sent its state without that.
	addressUnknown bool
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
	return !r.listed.Leaving && r.listedOrExpired(now)
}

// listedOrExpired reports whether the entry exists, or may only have expired while
// the store was not available.
func (r *upstreamRecord) listedOrExpired(now hickorymodel.Instant) bool {
	return r.removedAt == 0 || now.Before(r.usableUntil)
}

// displaces reports whether the entry describes the upstream at an address rather than
// another entry with the same address.
func (r *upstreamRecord) displaces(other *upstreamRecord, latestStart hickorymodel.WallTime, services map[hickoryid.ServiceName]hickorymessage.RoutedService) bool {
	_, named := services[r.listed.Service]
	_, otherNamed := services[other.listed.Service]
	if named != otherNamed {
		return named
	}
	return r.isNewerThan(other, latestStart)
}

// isNewerThan reports whether the entry is of a later upstream at the same
// address. The published starts decide if both are known, since revisions also
// rise with other changes; a start after latestStart is not possible and counts as
// earlier than any other. Without them, an entry that exists is newer than a removed
// one.
func (r *upstreamRecord) isNewerThan(other *upstreamRecord, latestStart hickorymodel.WallTime) bool {
	if possible := r.startPossible(latestStart); possible != other.startPossible(latestStart) {
		return possible
	}
	if r.listed.StartedAt != other.listed.StartedAt && r.listed.StartedAt != 0 && other.listed.StartedAt != 0 {
		return r.listed.StartedAt > other.listed.StartedAt
	}
	if (r.removedAt == 0) != (other.removedAt == 0) {
		return r.removedAt == 0
	}
	return r.revision > other.revision
}

// startPossible reports whether the published start is not after latestStart.
func (r *upstreamRecord) startPossible(latestStart hickorymodel.WallTime) bool {
	return hickorymodel.WallTime(r.listed.StartedAt) <= latestStart
}

// zoneRecord is the state of one zone.
type zoneRecord struct {
	mark hickorymessage.ZoneMark
	// returnedAt is when the zone returned to service; 0 if it was never out of
	// service.
	returnedAt hickorymodel.Instant
}
