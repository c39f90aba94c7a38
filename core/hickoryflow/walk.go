package hickoryflow

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// walk passes a packet of an unknown flow to the next candidate, suspected ones
// last: a suspected agent may run and own the flow, but a dead one ends the
// walk. At the end of the list the packet is dropped without a reset to the
// caller, since a packet with another table's list may still reach the owner.
func (t *Tracker) walk(p *Packet) {
	next, ok := t.nextWalkTarget(p)
	if !ok {
		t.drop(p, hickorymessage.DropReasonUnknownFlow)
		return
	}
	t.forward(p, next, FlagWalk)
}

func (t *Tracker) nextWalkTarget(p *Packet) (hickorymodel.Endpoint, bool) {
	after, onSuspected := -1, false
	if p.Flags.Has(FlagWalk) {
		after = p.Position
		onSuspected = after < len(p.Candidates) && p.Candidates[after].State == hickorymodel.CandidateSuspected
	}
	if !onSuspected {
		if next, ok := t.nextCandidate(p, after, false); ok {
			return next, true
		}
		after = -1
	}
	return t.nextCandidate(p, after, true)
}

// nextCandidate returns the first other candidate after a position that is
// suspected or not, as requested.
func (t *Tracker) nextCandidate(p *Packet, after int, suspected bool) (hickorymodel.Endpoint, bool) {
	for i := after + 1; i < p.Candidates.Len(); i++ {
		candidate := p.Candidates[i]
		_, excluded := t.excluded[candidate.Endpoint]
		isSuspected := candidate.State == hickorymodel.CandidateSuspected
		if t.isSelf(candidate.Endpoint) || excluded || isSuspected != suspected {
			continue
		}
		return candidate.Endpoint, true
	}
	return hickorymodel.Endpoint{}, false
}
