package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// pushCount is the number of random peers that hear of a new version at once.
	pushCount = 4
	// maxPushes bounds the pushes that wait for the budget; exchanges make up for
	// pushes that are dropped.
	maxPushes = 64
	// inlineBytes is the largest content that a push carries. A larger one is
	// only announced, so that a peer that has it already costs no more than that.
	inlineBytes = 1024
)

type pushItem struct {
	peer Peer
	team hickoryid.TeamName
}

// queuePushes notes random peers for a version that has just been accepted. A
// starting process pushes nothing: it accepts the versions of all sections.
func (n *Node) queuePushes(team hickoryid.TeamName) {
	if !n.inService || len(n.floor) > 0 {
		return
	}
	count := min(n.push, len(n.list.balancers))
	var chosen []Peer
	for len(chosen) < count {
		peer := n.list.balancers[n.random.IntN(len(n.list.balancers))]
		if slices.Contains(chosen, peer) {
			continue
		}
		chosen = append(chosen, peer)
		n.pushes = append(n.pushes, pushItem{peer: peer, team: team})
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
		bytes := pushOverhead
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

// AnswerPush takes what a peer pushes.
func (n *Node) AnswerPush(now hickorymodel.Instant, request hickorymessage.PushRequest) (hickorymessage.PushReply, []Action) {
	n.begin(now)
	n.freshness.RecordIndex(request.Beacon)
	peer, listed := n.list.find(request.Beacon.Instance)
	for _, header := range request.Headers {
		n.learn(header)
		if listed && n.store.Missing(header.Team) {
			n.puller.start(header.Team, header.Version, peer.Control)
		}
	}
	for _, body := range request.Sections {
		n.accept(Offer{Team: body.Team, Version: body.Version, Deleted: body.Deleted, Content: body.Content})
	}
	n.learnMarks(now, request.Marks)
	n.applyUrgent()
	n.budget.charge(now, pushOverhead)
	n.actions = append(n.actions, n.puller.due(now, n.budget)...)
	return hickorymessage.PushReply{Beacon: n.beacon(now)}, n.actions
}
