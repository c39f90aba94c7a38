package hickoryring

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// Inspection is a request for the state of the decide duty. Exactly one of the
// channels is set and receives the reply; it has room for it, so sending the reply
// never blocks.
type Inspection struct {
	Status  chan<- hickorymessage.StatusReply
	Report  chan<- hickorymessage.ReportReply
	Explain chan<- hickorymessage.ExplainReply
	// Flow is the flow to explain; it is set together with Explain.
	Flow hickorymodel.FlowKey
}

// inspectionCapacity is the maximum number of queued inspections.
const inspectionCapacity = 16

// InspectionRing carries inspections to the decide duty. A full ring refuses the
// newest.
type InspectionRing struct {
	items chan Inspection
}

// NewInspectionRing returns an empty ring.
func NewInspectionRing() *InspectionRing {
	return &InspectionRing{items: make(chan Inspection, inspectionCapacity)}
}

// Items returns the channel to receive from.
func (r *InspectionRing) Items() <-chan Inspection {
	return r.items
}

// Put adds an inspection and reports whether the ring had room.
func (r *InspectionRing) Put(inspection Inspection) bool {
	select {
	case r.items <- inspection:
		return true
	default:
		return false
	}
}
