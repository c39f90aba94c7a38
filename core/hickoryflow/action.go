package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// Verb is the kind of an action.
type Verb uint8

// Verbs of actions.
const (
	// VerbDeliver delivers Packet to the upstream.
	VerbDeliver Verb = iota
	// VerbForward sends Packet to the agent Target.
	VerbForward
	// VerbDrop counts a dropped packet under Reason.
	VerbDrop
	// VerbSend sends Datagram to Target.
	VerbSend
	// VerbMeasure records Elapsed, the time from a flow's first packet to the
	// first evidence that the upstream answered.
	VerbMeasure
)

// Action is one operation that the caller of the tracker must perform.
type Action struct {
	Verb     Verb
	Target   hickorymodel.Endpoint
	Packet   *Packet
	Datagram *hickorymessage.Datagram
	Reason   hickorymessage.DropReason
	Elapsed  time.Duration
	// CertainSince is set with VerbDeliver: no other agent has owned the flow
	// since this time.
	CertainSince hickorymodel.Instant
}

func (t *Tracker) deliver(p *Packet, r *record) {
	t.actions = append(t.actions, Action{Verb: VerbDeliver, Packet: p, CertainSince: r.certainSince})
}

func (t *Tracker) drop(p *Packet, reason hickorymessage.DropReason) {
	t.actions = append(t.actions, Action{Verb: VerbDrop, Packet: p, Reason: reason})
}

// send sends a control message, unless the target's zone is out of service.
func (t *Tracker) send(target hickorymodel.Endpoint, datagram *hickorymessage.Datagram) {
	if _, excluded := t.excluded[target]; excluded {
		return
	}
	t.actions = append(t.actions, Action{Verb: VerbSend, Target: target, Datagram: datagram})
}

// forward sends a packet to another agent. It drops the packet instead at the
// hop limit or if the target's zone is out of service.
func (t *Tracker) forward(p *Packet, target hickorymodel.Endpoint, flags Flags) {
	if p.Hops >= MaxHops {
		t.drop(p, hickorymessage.DropReasonHopLimit)
		return
	}
	if _, excluded := t.excluded[target]; excluded {
		t.drop(p, hickorymessage.DropReasonZoneOutOfService)
		return
	}
	p.Hops++
	p.Flags = p.Flags&FlagTransition | flags
	if position := p.Candidates.Index(target); position >= 0 {
		p.Position = position
	}
	t.actions = append(t.actions, Action{Verb: VerbForward, Target: target, Packet: p})
}
