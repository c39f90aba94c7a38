package hickoryconfig

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// AnswerPull gives a peer one part of a section.
func (n *Node) AnswerPull(now hickorymodel.Instant, request hickorymessage.PullRequest) hickorymessage.PullReply {
	n.freshness.Tick(now)
	return answerPull(now, n.store, n.budget, request)
}

// HandlePullReply handles one part of a section.
func (n *Node) HandlePullReply(now hickorymodel.Instant, endpoint hickoryid.Endpoint, reply hickorymessage.PullReply) []Action {
	n.begin(now)
	if offer, complete := n.puller.take(now, endpoint, reply, n.budget); complete {
		n.accept(offer)
	}
	n.applyUrgent()
	n.actions = append(n.actions, n.puller.due(now, n.budget)...)
	return n.actions
}

// PullFailed handles a pull that got no answer.
func (n *Node) PullFailed(now hickorymodel.Instant, endpoint hickoryid.Endpoint, team hickoryid.TeamName) []Action {
	n.begin(now)
	n.puller.fail(team, endpoint)
	n.view.drop(endpoint)
	return n.actions
}

// HandleNewerGeneration handles the notice of an agent that has a newer section in force:
// the section is pulled from this agent at once. The version in the notice is
// only a hint, since a datagram proves nothing.
func (n *Node) HandleNewerGeneration(now hickorymodel.Instant, from hickoryid.Endpoint, notice hickorymessage.NewerGeneration) []Action {
	n.begin(now)
	team, ok := n.numbers[notice.Service]
	agent, listed := n.list.agents[from]
	held, _ := n.store.Held(team)
	if !ok || held.Version >= notice.Generation {
		return n.actions
	}
	if listed {
		n.puller.start(team, notice.Generation, agent.Control)
	} else if peer, found := n.view.pick(n.self, false, n.random); found {
		n.sendDigest(now, peer, true)
	}
	n.actions = append(n.actions, n.puller.due(now, n.budget)...)
	return n.actions
}
