package hickorysteering

import (
	"math"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/schema/hickoryid"
)

const (
	// requestsPerSlot is the number of unanswered requests per slot up to which an
	// upstream gets new flows. Beyond it a request would wait for longer than twice
	// its processing time, and upstreams that shed requests do so after such a
	// wait.
	requestsPerSlot = 3
	// urgentRequestsPerSlot is added for routes of a higher priority than other
	// routes to the same service, and subtracted for copies of first packets.
	// Copies are at least 200 ms late already, so they yield to new flows.
	urgentRequestsPerSlot = 1
)

// room returns the number of unanswered requests from which on an upstream gets no
// more flows of the route. It returns 0 for no limit when its slots are not known, or
// when a frame can't name the number: a lower one would refuse flows that the upstream
// has room for.
func room(slots hickoryid.Slots, route *hickorydirectory.Route, copies uint32) uint8 {
	perSlot := requestsPerSlot
	if route.Urgent {
		perSlot += urgentRequestsPerSlot
	}
	if copies > 0 {
		perSlot -= urgentRequestsPerSlot
	}
	requests := perSlot * int(slots)
	if requests > math.MaxUint8 {
		return 0
	}
	return uint8(requests)
}
