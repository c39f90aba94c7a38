package hickoryfabric

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// stateService is the RPC service that balancers call to read each other's
	// directory.
	stateService = "directory"
	stateMethod  = stateService + ".State"
	// stateCallTimeout bounds one call to another balancer that sends nothing.
	stateCallTimeout = 700 * time.Millisecond
	// stateReadTimeout bounds one whose answer, which may have a configuration of thousands
	// of routes, keeps arriving, but too slowly to be of use.
	stateReadTimeout = 10 * time.Second
	// stateFetchers is the number of duties that call other balancers. While a call to
	// one that does not run waits for stateCallTimeout, a balancer without a state asks
	// others. Once it has a state, one of the duties calls: the states of several balancers
	// at once, with thousands of routes, would keep a slow one from decoding any in time.
	stateFetchers = 3
	// stateReplyTimeout bounds the wait of a received call for the answer of the
	// directoryUpdater.
	stateReplyTimeout = 500 * time.Millisecond
)

// stateFetcher requests the state of the directories of other balancers, one call
// of each duty at a time, and passes the answers to the directoryUpdater.
type stateFetcher struct {
	client        *hickoryrpc.Client
	stateRequests *hickoryring.StateFetchRing
	stateCalls    *hickoryring.StateRing
	// completed is closed once the directory has a complete state.
	completed <-chan struct{}
	// unpacking is held while a configuration is decoded: of several first states one is
	// enough, and a slow balancer has no time for the others.
	unpacking sync.Mutex
	failures  peerFailures
}

func (f *stateFetcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fetch := <-f.stateRequests.Items():
			f.fetch(ctx, fetch)
		}
	}
}

// runUntilComplete is run for a duty that only helps to find the first state.
func (f *stateFetcher) runUntilComplete(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.completed:
			<-ctx.Done()
			return ctx.Err()
		default:
		}
		select {
		case <-ctx.Done():
		case <-f.completed:
		case fetch := <-f.stateRequests.Items():
			f.fetch(ctx, fetch)
		}
	}
}

// fetch calls one balancer. A failed call is passed on without an answer, so that
// the balancer is removed from the list of peers.
func (f *stateFetcher) fetch(ctx context.Context, fetch hickoryring.StateFetch) {
	sentAt := f.failures.clock.Now()
	var reply hickorymessage.StateReply
	err := f.connect(ctx, fetch.Peer)
	if err == nil {
		f.stateCalls.Put(hickoryring.StateCall{Peer: fetch.Peer, Reached: true})
		ctx, cancel := context.WithTimeout(ctx, stateReadTimeout)
		defer cancel()
		err = f.client.CallUntilSilent(ctx, stateCallTimeout, fetch.Peer, stateMethod, &fetch.Request, &reply)
	}
	if err == nil {
		err = f.unpack(&reply)
	}
	if err != nil {
		f.failures.record(fetch.Peer, sentAt, err)
		f.stateCalls.Put(hickoryring.StateCall{Peer: fetch.Peer})
		return
	}
	f.stateCalls.Put(hickoryring.StateCall{Peer: fetch.Peer, Answer: &reply})
}

// unpack decodes the configuration of a whole state, unless the directory is complete by
// then. It is left out of the reply in that case; upstreams and zones stay in it.
func (f *stateFetcher) unpack(reply *hickorymessage.StateReply) error {
	f.unpacking.Lock()
	defer f.unpacking.Unlock()
	if reply.State == nil || reply.Table == "" {
		return nil
	}
	select {
	case <-f.completed:
		reply.State.TableRevision = 0
		return nil
	default:
		return unpackTable(reply)
	}
}

// connect opens a connection to a balancer.
func (f *stateFetcher) connect(ctx context.Context, peer hickoryid.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, stateCallTimeout)
	defer cancel()
	return f.client.Connect(ctx, peer)
}

// stateReceiver passes the calls of other balancers to the directoryUpdater, which
// answers them.
type stateReceiver struct {
	stateCalls   *hickoryring.StateRing
	changesCalls *hickoryring.ChangesRing
	tableCalls   *hickoryring.TableRing
	tables       tableEncoder
}

// State replies with the known balancers and, when the digest in the request
// differs from this balancer's, with the state of the directory.
func (r *stateReceiver) State(request hickorymessage.StateRequest, reply *hickorymessage.StateReply) error {
	answer := make(chan hickorymessage.StateReply, 1)
	if !r.stateCalls.Put(hickoryring.StateCall{Request: &request, Peer: request.Sender, Reply: answer}) {
		return errors.New("state: too many calls")
	}
	timer := time.NewTimer(stateReplyTimeout)
	defer timer.Stop()
	select {
	case *reply = <-answer:
		return r.packTable(reply)
	case <-timer.C:
		return errors.New("state: no answer in time")
	}
}
