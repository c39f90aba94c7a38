package hickoryadmission

import (
	"time"

	"hickoryworks/schema/hickoryid"
)

// Limits are the capacity figures of one upstream as its team states them.
type Limits struct {
	Slots          hickoryid.Slots
	Connections    hickoryid.Connections
	RampTime       time.Duration
	OpeningTimeout time.Duration
}

const (
	// coldOpenings is the number of flows that a cold upstream may open at
	// once.
	coldOpenings = 1
	// openingsPerSlot is the number of flows that a warm upstream may open at
	// once for each slot.
	openingsPerSlot = 4
)

// fullOpenings returns the number of flows that a warm upstream may open at
// once.
func (l Limits) fullOpenings() int {
	return max(int(l.Slots)*openingsPerSlot, coldOpenings+1)
}
