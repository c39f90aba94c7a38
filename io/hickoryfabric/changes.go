package hickoryfabric

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickorymessage"
)

const (
	changesMethod = stateService + ".Changes"
	// changesWait is how long the balancer that is followed may hold a call until it
	// has a change. It bounds how long a follower does not know that its source is
	// current.
	changesWait = 250 * time.Millisecond
	// changesSlack is added to changesWait for the time in which nothing of an answer
	// arrives: some round trips and the delay of a busy process.
	changesSlack = 450 * time.Millisecond
	// changesTimeout bounds a call whose answer, which may list thousands of upstreams,
	// keeps arriving, but too slowly to be of use.
	changesTimeout = 5 * time.Second
)

// changesFetcher asks the balancer that this one follows for changes, one call at a
// time, and passes the answers to the directoryUpdater.
type changesFetcher struct {
	client         *hickoryrpc.Client
	changesFetches *hickoryring.ChangesFetchRing
	changesCalls   *hickoryring.ChangesRing
	failures       peerFailures
}

func (f *changesFetcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fetch := <-f.changesFetches.Items():
			f.fetch(ctx, fetch)
		}
	}
}

// fetch calls one balancer. A failed call is passed on without an answer.
func (f *changesFetcher) fetch(ctx context.Context, fetch hickoryring.ChangesFetch) {
	ctx, cancel := context.WithTimeout(ctx, changesTimeout)
	defer cancel()
	call := hickoryring.ChangesCall{Peer: fetch.Peer}
	sentAt := f.failures.clock.Now()
	var reply hickorymessage.ChangesReply
	if err := f.client.CallUntilSilent(ctx, changesWait+changesSlack, fetch.Peer, changesMethod, &fetch.Request, &reply); err != nil {
		f.failures.record(fetch.Peer, sentAt, err)
	} else {
		call.Answer = &reply
	}
	f.changesCalls.Put(call)
}

// Changes replies with what the caller lacks of the directory. It waits for a change
// if there is none.
func (r *stateReceiver) Changes(request hickorymessage.ChangesRequest, reply *hickorymessage.ChangesReply) error {
	answer := make(chan hickorymessage.ChangesReply, 1)
	if !r.changesCalls.Put(hickoryring.ChangesCall{Request: &request, Peer: request.Sender, Reply: answer}) {
		return errors.New("changes: too many calls")
	}
	timer := time.NewTimer(time.Duration(request.WaitMillis)*time.Millisecond + stateReplyTimeout)
	defer timer.Stop()
	select {
	case *reply = <-answer:
		return nil
	case <-timer.C:
		return errors.New("changes: no answer in time")
	}
}
