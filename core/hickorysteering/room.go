package hickorysteering

import (
	"math"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/schema/hickoryid"
)

const (
	// requestsPerSlot is the number of unanswered requests, for each slot, up to
	// which an upstream gets new flows: beyond, a request would wait for longer
	// than twice its work, and upstreams that shed requests do so after such a wait.
	requestsPerSlot = 3
	// urgentRequests is added for routes of a higher priority than others of the
	// same service, and taken off for copies of first packets. Those are at least
	// 200 ms late already, so they take what fresh ones leave.
	urgentRequests = 1
)

// room returns the number of unanswered requests from which on an upstream gets
// no such flow, or 0 when its slots are not known.
func room(slots hickoryid.Slots, route *hickorydirectory.Route, copies uint32) uint8 {
	perSlot := requestsPerSlot
	if route.Urgent {
		perSlot += urgentRequests
	}
	if copies > 0 {
		perSlot -= urgentRequests
	}
	return uint8(min(perSlot*int(slots), math.MaxUint8))
}
