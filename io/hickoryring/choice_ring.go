package hickoryring

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// ChoiceCall asks the decide duty where it would send a new flow.
type ChoiceCall struct {
	Flow hickorymodel.FlowKey
	// Reply receives the answer. It has room for it, so sending the answer never blocks.
	Reply chan<- hickorymessage.ChoiceReply
}

// choiceCapacity is the maximum number of queued calls. Each looks at all upstreams of a
// service, so that a few may not hold up packets for long.
const choiceCapacity = 4

// ChoiceRing carries questions of operators to the decide duty. A full ring refuses the
// newest.
type ChoiceRing struct {
	items chan ChoiceCall
}

// NewChoiceRing returns an empty ring.
func NewChoiceRing() *ChoiceRing {
	return &ChoiceRing{items: make(chan ChoiceCall, choiceCapacity)}
}

// Items returns the channel to receive from.
func (r *ChoiceRing) Items() <-chan ChoiceCall {
	return r.items
}

// Put adds a call and reports whether the ring had room.
func (r *ChoiceRing) Put(call ChoiceCall) bool {
	select {
	case r.items <- call:
		return true
	default:
		return false
	}
}
