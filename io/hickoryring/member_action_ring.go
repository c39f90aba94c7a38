package hickoryring

import (
	"context"
	"sync/atomic"

	"hickoryworks/core/hickorymember"
)

// MemberActionRing carries actions of the failure detector, such as probes and
// views to send, to the duty that performs them.
type MemberActionRing struct {
	items chan hickorymember.Action
	rule  OverflowRule
	drops atomic.Uint64
}

// NewMemberActionRing returns an empty ring. The rule is Wait or DropNewest.
func NewMemberActionRing(capacity int, rule OverflowRule) *MemberActionRing {
	return &MemberActionRing{items: make(chan hickorymember.Action, capacity), rule: rule}
}

// Items returns the channel to receive from.
func (r *MemberActionRing) Items() <-chan hickorymember.Action {
	return r.items
}

// Drops returns the number of actions lost to overflow.
func (r *MemberActionRing) Drops() uint64 {
	return r.drops.Load()
}

// Put adds an action and reports whether the ring accepted it. The overflow rule
// applies to a full ring; with the rule Wait, Put fails when the context ends.
func (r *MemberActionRing) Put(ctx context.Context, action hickorymember.Action) bool {
	select {
	case r.items <- action:
		return true
	default:
	}
	if r.rule == Wait {
		select {
		case r.items <- action:
			return true
		case <-ctx.Done():
		}
	}
	r.drops.Add(1)
	return false
}
