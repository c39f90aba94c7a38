package hickoryfabric

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickorymessage"
)

const (
	// stateService is the name of the RPC service of balancers for each other.
	stateService = "directory"
	stateMethod  = stateService + ".State"
	// askTimeout bounds one call of another balancer.
	askTimeout = 700 * time.Millisecond
	// answerTimeout bounds the wait for the duty that keeps the directory.
	answerTimeout = 500 * time.Millisecond
)

// asker calls other balancers, one at a time.
type asker struct {
	client *hickoryrpc.Client
	asks   *hickoryring.AskRing
	states *hickoryring.StateRing
	logger *hickorylog.Logger
}

func (a *asker) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ask := <-a.asks.Items():
			a.ask(ctx, ask)
		}
	}
}

func (a *asker) ask(ctx context.Context, ask hickoryring.Ask) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply hickorymessage.StateReply
	if err := a.client.Call(ctx, ask.Peer, stateMethod, &ask.Request, &reply); err != nil {
		a.logger.Log(hickoryevent.PeerUnanswered, hickorylog.Fields{"peer": string(ask.Peer), "error": err.Error()})
		a.states.Put(hickoryring.StateCall{Peer: ask.Peer})
		return
	}
	a.states.Put(hickoryring.StateCall{Peer: ask.Peer, Answer: &reply})
}

// stateReceiver answers the calls of other balancers.
type stateReceiver struct {
	states *hickoryring.StateRing
}

// State answers with what the caller does not know.
func (r *stateReceiver) State(request hickorymessage.StateRequest, reply *hickorymessage.StateReply) error {
	answer := make(chan hickorymessage.StateReply, 1)
	if !r.states.Put(hickoryring.StateCall{Request: &request, Peer: request.Sender, Reply: answer}) {
		return errors.New("state: too many calls")
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case *reply = <-answer:
		return nil
	case <-timer.C:
		return errors.New("state: no answer in time")
	}
}
