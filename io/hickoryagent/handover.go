package hickoryagent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickorymessage"
)

const (
	transferService = "agent"
	transferMethod  = transferService + ".TransferFlows"
	// transferCapacity is above the number of calls that one successor makes at once.
	transferCapacity = 4
	// holdTime is how long the predecessor relays without a call of the successor.
	// Then it delivers again itself.
	holdTime = 3 * time.Second
	// answerTimeout bounds the wait of a call for the decide duty.
	answerTimeout = 2 * time.Second
)

// handover is the predecessor's side of a planned restart. The decide duty uses it.
type handover struct {
	// successor is the data socket of the process that began the last transfer.
	successor hickorymodel.Endpoint
	heldUntil hickorymodel.Instant
	// relaying is set while everything that arrives goes to the successor, and
	// relayed counts what did. Drain reads both.
	relaying atomic.Bool
	relayed  atomic.Uint64
}

// answerTransfer handles one call of the successor. It returns nil when the call
// is not part of a transfer that is under way.
func (d *decider) answerTransfer(request *hickorymessage.TransferRequest) *hickorymessage.TransferReply {
	now := d.clock.Now()
	successor, err := hickorymodel.ParseEndpoint(request.Endpoint)
	if err != nil || d.waiting {
		return nil
	}
	switch {
	case request.Step == hickorymessage.TransferStepBegin:
		d.takeBack()
		d.handover.successor = successor
		d.tracker.BeginExport()
		d.logger.Log(hickoryevent.TransferStarted, hickorylog.Fields{"successor": successor.String(), "flows": d.tracker.Flows()})
		return d.nextPart(now)
	case successor != d.handover.successor:
		return nil
	case request.Step == hickorymessage.TransferStepNext && !d.handover.relaying.Load():
		return d.nextPart(now)
	default:
		d.handover.heldUntil = now.Add(holdTime)
		return d.transferReply()
	}
}

// nextPart exports a part. Once nothing is left, this call also starts to relay,
// so no packet is handled between the last part and the first relayed one.
func (d *decider) nextPart(now hickorymodel.Instant) *hickorymessage.TransferReply {
	flows, complete := d.tracker.Export(now)
	if complete {
		d.handover.relaying.Store(true)
		d.handover.heldUntil = now.Add(holdTime)
		d.logger.Log(hickoryevent.TransferComplete, hickorylog.Fields{"flows": d.tracker.Flows()})
	}
	reply := d.transferReply()
	reply.Flows = flows
	if complete {
		reply.Redirects = d.tracker.ExportRedirects(now)
		reply.OpeningLimit = d.tracker.Load().Limit
	}
	return reply
}

func (d *decider) transferReply() *hickorymessage.TransferReply {
	return &hickorymessage.TransferReply{
		Endpoint:  d.own.ID(),
		Relaying:  d.handover.relaying.Load(),
		FlowsLeft: d.tracker.Flows(),
	}
}

// tickRelaying ends the relaying when the successor no longer asks for it.
func (d *decider) tickRelaying() {
	now := d.clock.Now()
	d.tracker.SweepRelayed(now)
	if now.Before(d.handover.heldUntil) {
		return
	}
	d.takeBack()
}

func (d *decider) takeBack() {
	if !d.handover.relaying.Load() {
		return
	}
	d.handover.relaying.Store(false)
	d.logger.Log(hickoryevent.TransferTakenBack, hickorylog.Fields{"flows": d.tracker.Flows()})
}

// relay passes a frame on to the successor with its sender, and a frame of the
// successor to its target.
func (d *decider) relay(ctx context.Context, frame hickoryring.Frame) {
	if frame.Peer == d.handover.successor {
		if target, inner, ok := d.codec.DecodeRelayed(frame.Bytes); ok {
			d.count(d.put(ctx, d.outgoing, target, inner, nil))
			return
		}
	}
	d.handover.relayed.Add(1)
	if _, ok := d.codec.Decode(frame.Bytes, &d.decoded); ok && d.decoded.Message == nil {
		d.tracker.RecordRelayed(d.clock.Now(), &d.decoded.Packet)
	}
	encoded, err := d.codec.EncodeRelayed(frame.Peer, frame.Bytes)
	d.count(d.put(ctx, d.outgoing, d.handover.successor, encoded, err))
}

// transferReceiver answers the calls of a successor.
type transferReceiver struct {
	calls *hickoryring.TransferRing
}

// TransferFlows passes a call to the decide duty and waits for its answer.
func (r *transferReceiver) TransferFlows(request hickorymessage.TransferRequest, reply *hickorymessage.TransferReply) error {
	call := hickoryring.TransferCall{Request: request, Reply: make(chan *hickorymessage.TransferReply, 1)}
	if !r.calls.Put(call) {
		return errors.New("transfer flows: too many calls at once")
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case answer := <-call.Reply:
		if answer == nil {
			return errors.Errorf("transfer flows: no transfer to %s is under way", request.Endpoint)
		}
		*reply = *answer
		return nil
	case <-timer.C:
		return errors.Errorf("transfer flows: no answer within %s", answerTimeout)
	}
}
