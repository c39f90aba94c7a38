package hickoryconfig

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// AnswerPull returns one part of a section to a peer.
func (n *Node) AnswerPull(now hickorymodel.Instant, request hickorymessage.PullRequest) hickorymessage.PullReply {
	n.freshness.Tick(now)
	return answerPull(now, n.store, n.budget, request)
}

// HandlePullReply handles one part of a section.
func (n *Node) HandlePullReply(now hickorymodel.Instant, endpoint hickoryid.Endpoint, reply hickorymessage.PullReply) []Action {
	n.begin(now)
	if offer, complete := n.puller.handleReply(now, endpoint, reply, n.budget); complete {
		n.accept(offer)
	}
	n.applyUrgent()
	n.actions = append(n.actions, n.puller.nextCalls(now, n.budget)...)
	return n.actions
}

// PullFailed handles a pull without an answer.
func (n *Node) PullFailed(now hickorymodel.Instant, endpoint hickoryid.Endpoint, team hickoryid.TeamName) []Action {
	n.begin(now)
	n.puller.cancelPull(team, endpoint)
	n.peerSample.drop(endpoint)
	return n.actions
}

// HandleNewerGeneration handles the datagram of an agent that has a newer section
// in force: the section is pulled from this agent at once. When the agent is not in
// the instance list, the headers that differ are requested from a peer instead. The
// version in the datagram is not recorded as known, since a datagram does not prove
// that the version exists.
func (n *Node) HandleNewerGeneration(now hickorymodel.Instant, from hickoryid.Endpoint, newerGeneration hickorymessage.NewerGeneration) []Action {
	n.begin(now)
	team, ok := n.teamByNumber[newerGeneration.Service]
	agent, listed := n.list.agents[from]
	held, _ := n.store.Held(team)
	if !ok || held.Version >= newerGeneration.Generation {
		return n.actions
	}
	if listed {
		n.puller.start(team, newerGeneration.Generation, agent.Control)
	} else if peer, found := n.peerSample.pick(n.self, false, n.random); found {
		n.sendDigest(now, peer, true)
	}
	n.actions = append(n.actions, n.puller.nextCalls(now, n.budget)...)
	return n.actions
}
