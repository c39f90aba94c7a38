package hickoryrelay

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// event is an input of the configuration duty: the result of a call or a read, an
// instance list, a NewerGeneration datagram or a request of a peer. The result of
// a call or a read has action and sentAt, and err or the pointer to the reply; a
// push has no reply. In any other event exactly one pointer is set.
type event struct {
	// action is the call or read that ended, sentAt the time at which it began.
	action          *hickoryconfig.Action
	sentAt          hickorymodel.Instant
	err             error
	values          *hickoryplatform.Values
	digest          *hickorymessage.DigestReply
	pull            *hickorymessage.PullReply
	follow          *hickorymessage.FollowReply
	list            *hickoryplatform.Instances
	newerGeneration *newerGeneration
	peerRequest     *peerRequest
}

// newerGeneration is a NewerGeneration datagram with its sender.
type newerGeneration struct {
	from    hickoryid.Endpoint
	message hickorymessage.NewerGeneration
}

// peerRequest is an RPC request of a peer. Exactly one of the requests is set. The
// configuration duty fills in the reply to it and closes answered.
type peerRequest struct {
	digest      *hickorymessage.DigestRequest
	digestReply hickorymessage.DigestReply
	pull        *hickorymessage.PullRequest
	pullReply   hickorymessage.PullReply
	push        *hickorymessage.PushRequest
	pushReply   hickorymessage.PushReply
	follow      *hickorymessage.FollowRequest
	followReply hickorymessage.FollowReply
	answered    chan struct{}
}

// eventCapacity is the capacity of the event ring. It is enough for the results of
// all calls in flight and the requests of one second in a fleet of the target size.
const eventCapacity = 128

// eventRing is the bounded queue of events for the configuration duty.
type eventRing struct {
	items chan event
	// drops counts the events that offer dropped.
	drops atomic.Uint64
}

func newEventRing() *eventRing {
	return &eventRing{items: make(chan event, eventCapacity)}
}

// offer adds an event, or drops it and returns false when the ring is full. It is
// for requests and NewerGeneration datagrams, which their senders repeat.
func (r *eventRing) offer(e event) bool {
	select {
	case r.items <- e:
		return true
	default:
		r.drops.Add(1)
		return false
	}
}

// putResult adds an event, and blocks while the ring is full. It is for results and
// instance lists, which must not be lost. It fails when the context ends.
func (r *eventRing) putResult(ctx context.Context, e event) error {
	select {
	case r.items <- e:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "pass result to the configuration duty")
	}
}

// actionRing is the bounded queue of calls, or of reads of the configuration
// service, for the duties that make them.
type actionRing struct {
	items chan hickoryconfig.Action
	// drops counts the actions that offer dropped.
	drops atomic.Uint64
}

func newActionRing(capacity int) *actionRing {
	return &actionRing{items: make(chan hickoryconfig.Action, capacity)}
}

// offer adds an action, or drops it when the ring is full. hickoryconfig treats a
// call without a result as lost and repeats it.
func (r *actionRing) offer(action hickoryconfig.Action) {
	select {
	case r.items <- action:
	default:
		r.drops.Add(1)
	}
}
