package hickoryagent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// importCapacity is the number of parts that can be queued for the decide duty.
	importCapacity = 4
	// holdInterval is the time between two hold calls, which make the predecessor
	// go on relaying. It leaves time for five calls within holdTime.
	holdInterval = 500 * time.Millisecond
	// retryInterval is the time between two attempts to reach the predecessor.
	retryInterval = 200 * time.Millisecond
	// predecessorTimeout is the time since the predecessor's last reply after which
	// the predecessor counts as ended.
	predecessorTimeout = 3 * time.Second
	// callTimeout bounds one call. It is above answerTimeout, which the predecessor
	// applies.
	callTimeout = 2500 * time.Millisecond
)

// errNotRelaying means that the predecessor delivers to the upstream itself again,
// so that the transfer must be repeated.
var errNotRelaying = errors.New("predecessor no longer relays to its successor")

// takeover is the successor's duty in a planned restart: it fetches the flow table
// of the predecessor. One goroutine uses it.
type takeover struct {
	client      *hickoryrpc.Client
	predecessor hickoryid.Endpoint
	instance    hickoryid.InstanceID
	ownEndpoint hickorymodel.Endpoint
	// serviceApplied is closed when the decide duty has applied the service, without
	// which it cannot import flows.
	serviceApplied <-chan struct{}
	imports        *hickoryring.ImportRing
	logger         *hickorylog.Logger
}

// run fetches all flows and then makes hold calls, which make the predecessor go
// on relaying, until the predecessor has ended. It repeats a transfer that failed.
// It returns when the context ends.
func (t *takeover) run(ctx context.Context) error {
	select {
	case <-t.serviceApplied:
	case <-ctx.Done():
		return ctx.Err()
	}
	lastReply := time.Now()
	complete := false
	for ctx.Err() == nil {
		err := t.attempt(ctx, &lastReply, &complete)
		if time.Since(lastReply) >= predecessorTimeout && !errors.Is(err, errNotRelaying) {
			break
		}
		t.logger.LogError(hickoryevent.TransferRestarted, err)
		wait(ctx, retryInterval)
	}
	step := hickoryring.Import{Kind: hickoryring.ImportNone}
	event := hickoryevent.TransferFailed
	if complete {
		step.Kind = hickoryring.ImportEnd
		event = hickoryevent.PredecessorEnded
	}
	if t.imports.Put(ctx, step) {
		t.logger.Log(event, hickorylog.Fields{"peer": t.predecessor})
	}
	<-ctx.Done()
	return ctx.Err()
}

// attempt fetches the flow table unless that is complete, and then makes hold
// calls until the predecessor no longer relays or no longer answers. It updates
// lastReply, the time of the predecessor's last reply, and complete.
func (t *takeover) attempt(ctx context.Context, lastReply *time.Time, complete *bool) error {
	if !*complete {
		if err := t.fetch(ctx, lastReply); err != nil {
			return err
		}
		*complete = true
	}
	for {
		reply, err := t.call(ctx, hickorymessage.TransferStepHold)
		if err == nil {
			*lastReply = time.Now()
		}
		if err == nil && !reply.Relaying {
			*complete = false
			return errNotRelaying
		}
		if ctx.Err() != nil || (err != nil && time.Since(*lastReply) >= predecessorTimeout) {
			return err
		}
		wait(ctx, holdInterval)
	}
}

// fetch passes all parts of the predecessor's flow table to the decide duty.
func (t *takeover) fetch(ctx context.Context, lastReply *time.Time) error {
	kind := hickoryring.ImportFirst
	request := hickorymessage.TransferStepBegin
	for {
		reply, err := t.call(ctx, request)
		if err != nil {
			return err
		}
		*lastReply = time.Now()
		predecessor, err := hickorymodel.ParseEndpoint(reply.Endpoint)
		if err != nil {
			return err
		}
		if !t.imports.Put(ctx, hickoryring.Import{Kind: kind, Predecessor: predecessor, Part: reply}) {
			return ctx.Err()
		}
		if reply.Relaying {
			return nil
		}
		kind = hickoryring.ImportNext
		request = hickorymessage.TransferStepNext
	}
}

func (t *takeover) call(ctx context.Context, step hickorymessage.TransferStep) (hickorymessage.TransferReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := hickorymessage.TransferRequest{Successor: t.instance, Endpoint: t.ownEndpoint.ID(), Step: step}
	var reply hickorymessage.TransferReply
	err := t.client.Call(ctx, t.predecessor, transferMethod, request, &reply)
	return reply, err
}

// wait returns after the pause, or as soon as the context has ended.
func wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
