package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// ReadsList reports whether this balancer reads the instance list for its zone.
// The balancers that read the configuration service do.
func (n *Node) ReadsList(now hickorymodel.Instant) bool {
	return n.list.known && (n.list.rank < ReadersPerZone || now.Before(n.reads.takeoverEnd))
}

func (n *Node) mergeMarks(now hickorymodel.Instant, messages []hickorymessage.LeavingMark) {
	for _, message := range messages {
		if n.marks.merge(now, message) {
			n.changed = true
		}
	}
}

// sendMarks pushes changed marks to random peers at once. A process that is
// starting pushes nothing, since the newest marks may be missing there.
func (n *Node) sendMarks(now hickorymodel.Instant) {
	if !n.inService {
		n.marks.unsent = nil
		return
	}
	if len(n.marks.unsent) == 0 {
		return
	}
	count := min(n.pushFanout, len(n.list.balancers))
	bytes := count * (pushOverheadBytes + markBytes*min(len(n.marks.unsent), maxMarks))
	if !n.budget.allow(now, bytes) {
		return
	}
	messages := n.marks.popUnsent()
	var chosen []Peer
	for len(chosen) < count {
		peer := n.list.balancers[n.random.IntN(len(n.list.balancers))]
		if slices.Contains(chosen, peer) {
			continue
		}
		chosen = append(chosen, peer)
		request := &hickorymessage.PushRequest{Beacon: n.beacon(now), Marks: messages}
		n.actions = append(n.actions, Action{Verb: VerbPush, Peer: peer.Control, Push: request})
	}
}

// marksOf returns the marks of the upstreams of a service in force.
func (n *Node) marksOf(service hickoryid.ServiceName) []hickorymessage.LeavingMark {
	return n.marks.toMessages(n.upstreams[service])
}
