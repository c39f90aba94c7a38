package hickoryfabric

import (
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickorymessage"
)

const (
	// choiceService is the RPC service by which a balancer explains to operators where
	// it would send a flow.
	choiceService = "choice"
	// choiceReplyTimeout bounds the wait for the decide duty.
	choiceReplyTimeout = time.Second
)

// choiceReceiver passes questions of operators to the decide duty, which answers them
// and sends nothing.
type choiceReceiver struct {
	choiceCalls *hickoryring.ChoiceRing
}

// Explain replies where the balancer would send a new flow now, and why.
func (r *choiceReceiver) Explain(request hickorymessage.ChoiceRequest, reply *hickorymessage.ChoiceReply) error {
	flow, err := hickorymodel.ParseFlowKey(hickorymessage.Flow{
		Protocol: int(hickorymodel.ProtocolTCP), Source: request.Caller, Destination: request.Address,
	})
	if err != nil {
		return errors.Wrap(err, "explain")
	}
	answer := make(chan hickorymessage.ChoiceReply, 1)
	if !r.choiceCalls.Put(hickoryring.ChoiceCall{Flow: flow, Reply: answer}) {
		return errors.New("explain: too many calls")
	}
	timer := time.NewTimer(choiceReplyTimeout)
	defer timer.Stop()
	select {
	case *reply = <-answer:
		return nil
	case <-timer.C:
		return errors.New("explain: no answer in time")
	}
}
