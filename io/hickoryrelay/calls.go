package hickoryrelay

import (
	"context"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickorymessage"
)

// Names of the RPC methods.
const (
	serviceName    = "relay"
	methodExchange = serviceName + ".Exchange"
	methodPull     = serviceName + ".Pull"
	methodPush     = serviceName + ".Push"
	methodFollow   = serviceName + ".Follow"
)

// makeCalls makes the calls of the calls ring one after the other and passes each
// result to the configuration duty. callDuties goroutines run it.
func (r *Relay) makeCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-r.calls.items:
			e := r.call(ctx, action)
			if e.err != nil && ctx.Err() == nil {
				r.logFailure(hickoryevent.PeerFailed, hickorylog.Fields{"peer": string(action.Peer), "error": e.err.Error()})
			}
			if err := r.events.putResult(ctx, e); err != nil {
				return err
			}
		}
	}
}

// call makes one call to a peer, for at most callTimeout.
func (r *Relay) call(ctx context.Context, action hickoryconfig.Action) event {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := event{action: &action, sentAt: r.parts.Clock.Now()}
	switch action.Verb {
	case hickoryconfig.VerbExchange:
		reply := &hickorymessage.DigestReply{}
		if e.err = r.client.Call(ctx, action.Peer, methodExchange, action.Digest, reply); e.err == nil {
			e.digest = reply
		}
	case hickoryconfig.VerbPull:
		reply := &hickorymessage.PullReply{}
		if e.err = r.client.Call(ctx, action.Peer, methodPull, action.Pull, reply); e.err == nil {
			e.pull = reply
		}
	case hickoryconfig.VerbFollow:
		reply := &hickorymessage.FollowReply{}
		if e.err = r.client.Call(ctx, action.Peer, methodFollow, action.Follow, reply); e.err == nil {
			e.follow = reply
		}
	default:
		e.err = r.client.Call(ctx, action.Peer, methodPush, action.Push, &hickorymessage.PushReply{})
	}
	return e
}
