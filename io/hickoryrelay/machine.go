package hickoryrelay

import (
	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryplatform"
)

// machine is the state machine that decides about the configuration of this
// process: the hickoryconfig.Node of a balancer or the hickoryconfig.Follower of
// an agent. Only the configuration duty calls it.
type machine struct {
	// needsList reports whether the process must read the instance list.
	needsList func(now hickorymodel.Instant) bool
	// tick is called every hickoryconfig.TickInterval.
	tick func(now hickorymodel.Instant) []hickoryconfig.Action
	// setInstances handles an instance list.
	setInstances func(now hickorymodel.Instant, list hickoryplatform.Instances) []hickoryconfig.Action
	// settled is false while the process must read the instance list more often.
	settled func() bool
	// readsList reports whether the process reads the instance list on behalf of
	// its zone.
	readsList func(now hickorymodel.Instant) bool
	// lease returns the lease for packets that are forwarded.
	lease func(now hickorymodel.Instant) hickoryconfig.Lease
	// handleResult handles the result of a call or a read.
	handleResult func(now hickorymodel.Instant, e *event) []hickoryconfig.Action
	// handleNewerGeneration handles a NewerGeneration datagram.
	handleNewerGeneration func(now hickorymodel.Instant, n *newerGeneration) []hickoryconfig.Action
	// answer fills in the reply to a peer's request.
	answer func(now hickorymodel.Instant, pending *peerRequest) []hickoryconfig.Action
}

// nodeMachine returns the state machine of a balancer.
func nodeMachine(node *hickoryconfig.Node) machine {
	return machine{
		tick:         node.Tick,
		setInstances: node.SetInstances,
		settled:      node.Settled,
		readsList:    node.ReadsList,
		needsList:    func(hickorymodel.Instant) bool { return true },
		lease:        node.Lease,
		handleResult: func(now hickorymodel.Instant, e *event) []hickoryconfig.Action {
			return handleNodeResult(node, now, e)
		},
		handleNewerGeneration: func(now hickorymodel.Instant, n *newerGeneration) []hickoryconfig.Action {
			return node.HandleNewerGeneration(now, n.from, n.message)
		},
		answer: func(now hickorymodel.Instant, pending *peerRequest) []hickoryconfig.Action {
			return answerAsNode(node, now, pending)
		},
	}
}

// handleNodeResult passes the result of a call or a read to the balancer's node.
func handleNodeResult(node *hickoryconfig.Node, now hickorymodel.Instant, e *event) []hickoryconfig.Action {
	peer := e.action.Peer
	switch {
	case e.values != nil:
		return node.HandleValues(now, e.sentAt, *e.values)
	case e.digest != nil:
		return node.HandleDigestReply(now, e.sentAt, peer, *e.action.Digest, *e.digest)
	case e.pull != nil:
		return node.HandlePullReply(now, peer, *e.pull)
	case e.err == nil:
		return nil
	case e.action.Verb == hickoryconfig.VerbRead:
		return node.ReadFailed(now)
	case e.action.Verb == hickoryconfig.VerbPull:
		return node.PullFailed(now, peer, e.action.Pull.Team)
	default:
		return node.CallFailed(now, peer)
	}
}

// answerAsNode fills in the reply of a balancer to a peer's request.
func answerAsNode(node *hickoryconfig.Node, now hickorymodel.Instant, pending *peerRequest) []hickoryconfig.Action {
	var actions []hickoryconfig.Action
	switch {
	case pending.digest != nil:
		pending.digestReply = node.AnswerDigest(now, *pending.digest)
	case pending.pull != nil:
		pending.pullReply = node.AnswerPull(now, *pending.pull)
	case pending.push != nil:
		pending.pushReply, actions = node.AnswerPush(now, *pending.push)
	case pending.follow != nil:
		pending.followReply = node.AnswerFollow(now, *pending.follow)
	}
	return actions
}

// followerMachine returns the state machine of an agent. It ignores NewerGeneration
// datagrams and answers only pulls.
func followerMachine(follower *hickoryconfig.Follower) machine {
	return machine{
		tick:         follower.Tick,
		setInstances: follower.SetInstances,
		settled:      follower.Settled,
		readsList:    func(hickorymodel.Instant) bool { return false },
		needsList:    follower.NeedsList,
		lease:        follower.Lease,
		handleResult: func(now hickorymodel.Instant, e *event) []hickoryconfig.Action {
			return handleFollowerResult(follower, now, e)
		},
		handleNewerGeneration: func(hickorymodel.Instant, *newerGeneration) []hickoryconfig.Action { return nil },
		answer: func(now hickorymodel.Instant, pending *peerRequest) []hickoryconfig.Action {
			if pending.pull != nil {
				pending.pullReply = follower.AnswerPull(now, *pending.pull)
			}
			return nil
		},
	}
}

// handleFollowerResult passes the result of a call to the agent's follower.
func handleFollowerResult(follower *hickoryconfig.Follower, now hickorymodel.Instant, e *event) []hickoryconfig.Action {
	peer := e.action.Peer
	switch {
	case e.follow != nil:
		return follower.HandleFollowReply(now, e.sentAt, peer, *e.follow)
	case e.pull != nil:
		return follower.HandlePullReply(now, peer, *e.pull)
	case e.err == nil:
		return nil
	case e.action.Verb == hickoryconfig.VerbPull:
		return follower.PullFailed(now, peer, e.action.Pull.Team)
	default:
		return follower.CallFailed(now, peer)
	}
}
