package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// defaultPushFanout is the number of random peers to which a new version is
	// pushed at once.
	defaultPushFanout = 4
	// maxPushes limits the pushes that wait for the budget. Versions of pushes that
	// are dropped spread by exchanges.
	maxPushes = 64
	// inlineBytes is the largest content that a push carries. Of a larger one only
	// the header is pushed, so that a peer that already has the content receives no
	// more than that.
	inlineBytes = 1024
)

// pendingPush is a version that waits for the budget to be pushed to a peer.
type pendingPush struct {
	peer Peer
	team hickoryid.TeamName
}

// queuePushes queues pushes of a version that has just been accepted to random
// peers. A process that is starting pushes nothing, since it accepts the versions of
// all sections and would push each of them.
func (n *Node) queuePushes(team hickoryid.TeamName) {
	if !n.inService || len(n.minVersions) > 0 {
		return
	}
	count := min(n.pushFanout, len(n.list.balancers))
	var chosen []Peer
	for len(chosen) < count {
		peer := n.list.balancers[n.random.IntN(len(n.list.balancers))]
		if slices.Contains(chosen, peer) {
			continue
		}
		chosen = append(chosen, peer)
		n.pushes = append(n.pushes, pendingPush{peer: peer, team: team})
	}
	if extra := len(n.pushes) - maxPushes; extra > 0 {
		n.pushes = slices.Delete(n.pushes, 0, extra)
	}
}

func (n *Node) sendPushes(now hickorymodel.Instant) {
	for len(n.pushes) > 0 {
		item := n.pushes[0]
		held, _ := n.store.Held(item.team)
		inline := len(held.Content) <= inlineBytes
		bytes := pushOverheadBytes
		if inline {
			bytes += len(held.Content)
		}
		if !n.budget.allow(now, bytes) {
			return
		}
		n.pushes = n.pushes[1:]
		request := &hickorymessage.PushRequest{Beacon: n.beacon(now)}
		if inline {
			request.Sections = []hickorymessage.SectionBody{{
				Team: item.team, Version: held.Version, Deleted: held.Deleted, Content: held.Content,
			}}
		} else {
			request.Headers = []hickorymessage.SectionHeader{{
				Team: item.team, Version: held.Version, OutOfService: outOfServiceZones(held.Section),
			}}
		}
		n.actions = append(n.actions, Action{Verb: VerbPush, Peer: item.peer.Control, Push: request})
	}
}

// AnswerPush applies the headers, sections and marks that a peer pushes.
func (n *Node) AnswerPush(now hickorymodel.Instant, request hickorymessage.PushRequest) (hickorymessage.PushReply, []Action) {
	n.begin(now)
	n.freshness.RecordIndex(request.Beacon)
	peer, listed := n.list.findBalancer(request.Beacon.Instance)
	for _, header := range request.Headers {
		n.recordHeader(header)
		if listed && n.store.Missing(header.Team) {
			n.puller.start(header.Team, header.Version, peer.Control)
		}
	}
	for _, body := range request.Sections {
		n.accept(Offer{Team: body.Team, Version: body.Version, Deleted: body.Deleted, Content: body.Content})
	}
	n.mergeMarks(now, request.Marks)
	n.applyUrgent()
	n.budget.charge(now, pushOverheadBytes)
	n.actions = append(n.actions, n.puller.nextCalls(now, n.budget)...)
	return hickorymessage.PushReply{Beacon: n.beacon(now)}, n.actions
}
