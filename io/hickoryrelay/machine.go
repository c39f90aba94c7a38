package hickoryrelay

import (
	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryplatform"
)

// machine is the state machine of a balancer or an agent.
type machine struct {
	// needsList reports whether the process reads the instance list at all.
	needsList    func(now hickorymodel.Instant) bool
	tick         func(now hickorymodel.Instant) []hickoryconfig.Action
	setInstances func(now hickorymodel.Instant, list hickoryplatform.Instances) []hickoryconfig.Action
	settled      func() bool
	// readsList reports whether the process reads the instance list for its zone.
	readsList func(now hickorymodel.Instant) bool
	lease     func(now hickorymodel.Instant) hickoryconfig.Lease
	// takeResult handles the end of a call.
	takeResult func(now hickorymodel.Instant, e *event) []hickoryconfig.Action
	// takeNotice handles a NewerGeneration datagram.
	takeNotice func(now hickorymodel.Instant, n *notice) []hickoryconfig.Action
	// answer fills in the reply to a peer's request.
	answer func(now hickorymodel.Instant, q *question) []hickoryconfig.Action
}

func nodeMachine(node *hickoryconfig.Node) machine {
	return machine{
		tick:         node.Tick,
		setInstances: node.SetInstances,
		settled:      node.Settled,
		readsList:    node.ReadsList,
		needsList:    func(hickorymodel.Instant) bool { return true },
		lease:        node.Lease,
		takeResult: func(now hickorymodel.Instant, e *event) []hickoryconfig.Action {
			return takeNodeResult(node, now, e)
		},
		takeNotice: func(now hickorymodel.Instant, n *notice) []hickoryconfig.Action {
			return node.HandleNewerGeneration(now, n.from, n.message)
		},
		answer: func(now hickorymodel.Instant, q *question) []hickoryconfig.Action {
			return answerAsNode(node, now, q)
		},
	}
}

func takeNodeResult(node *hickoryconfig.Node, now hickorymodel.Instant, e *event) []hickoryconfig.Action {
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

func answerAsNode(node *hickoryconfig.Node, now hickorymodel.Instant, q *question) []hickoryconfig.Action {
	var actions []hickoryconfig.Action
	switch {
	case q.digest != nil:
		q.digestReply = node.AnswerDigest(now, *q.digest)
	case q.pull != nil:
		q.pullReply = node.AnswerPull(now, *q.pull)
	case q.push != nil:
		q.pushReply, actions = node.AnswerPush(now, *q.push)
	case q.follow != nil:
		q.followReply = node.AnswerFollow(now, *q.follow)
	}
	return actions
}

func followerMachine(follower *hickoryconfig.Follower) machine {
	return machine{
		tick:         follower.Tick,
		setInstances: follower.SetInstances,
		settled:      follower.Settled,
		readsList:    func(hickorymodel.Instant) bool { return false },
		needsList:    follower.NeedsList,
		lease:        follower.Lease,
		takeResult: func(now hickorymodel.Instant, e *event) []hickoryconfig.Action {
			return takeFollowerResult(follower, now, e)
		},
		takeNotice: func(hickorymodel.Instant, *notice) []hickoryconfig.Action { return nil },
		answer: func(now hickorymodel.Instant, q *question) []hickoryconfig.Action {
			if q.pull != nil {
				q.pullReply = follower.AnswerPull(now, *q.pull)
			}
			return nil
		},
	}
}

func takeFollowerResult(follower *hickoryconfig.Follower, now hickorymodel.Instant, e *event) []hickoryconfig.Action {
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
