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
	// transferCapacity is the number of calls that can be queued. One successor
	// makes fewer calls at once.
	transferCapacity = 4
	// holdTime is how long the predecessor relays after the last call of the
	// successor. Then it delivers to the upstream itself again.
	holdTime = 3 * time.Second
	// answerTimeout is how long a call waits for the answer of the decide duty.
	answerTimeout = 2 * time.Second
)

// handover is the predecessor's state in a planned restart. The decide duty uses it.
type handover struct {
	// successor is the data socket of the process that began the last transfer.
	successor hickorymodel.Endpoint
	// relayUntil is when relaying ends unless the successor calls again.
	relayUntil hickorymodel.Instant
	// relaying is set while all received frames are sent on to the successor.
	// relayedFrames counts these. Drain reads both.
	relaying      atomic.Bool
	relayedFrames atomic.Uint64
}

// answerTransfer handles one call of the successor. It returns nil if the call
// belongs to no transfer under way, if its endpoint is invalid, or while this
// agent itself imports flows.
func (d *decider) answerTransfer(request *hickorymessage.TransferRequest) *hickorymessage.TransferReply {
	now := d.clock.Now()
	successor, err := hickorymodel.ParseEndpoint(request.Endpoint)
	if err != nil || d.importing {
		return nil
	}
	switch {
	case request.Step == hickorymessage.TransferStepBegin:
		d.stopRelaying()
		d.handover.successor = successor
		d.tracker.BeginExport()
		d.logger.Log(hickoryevent.TransferStarted, hickorylog.Fields{"successor": successor.String(), "flows": d.tracker.Flows()})
		return d.nextPart(now)
	case successor != d.handover.successor:
		return nil
	case request.Step == hickorymessage.TransferStepNext && !d.handover.relaying.Load():
		return d.nextPart(now)
	default:
		d.handover.relayUntil = now.Add(holdTime)
		return d.transferReply()
	}
}

// nextPart returns the next part of the flow table. The call that returns the
// last part also starts relaying, so that no packet is handled here between the
// last part and the first relayed packet.
func (d *decider) nextPart(now hickorymodel.Instant) *hickorymessage.TransferReply {
	flows, complete := d.tracker.Export(now)
	if complete {
		d.handover.relaying.Store(true)
		d.handover.relayUntil = now.Add(holdTime)
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
		Endpoint:  d.ownEndpoint.ID(),
		Relaying:  d.handover.relaying.Load(),
		FlowsLeft: d.tracker.Flows(),
	}
}

// tickRelaying ends idle flows, and ends relaying when holdTime has passed without
// a call of the successor.
func (d *decider) tickRelaying() {
	now := d.clock.Now()
	d.tracker.SweepRelayed(now)
	if now.Before(d.handover.relayUntil) {
		return
	}
	d.stopRelaying()
}

// stopRelaying makes this agent deliver to the upstream itself again. It does
// nothing if the agent does not relay.
func (d *decider) stopRelaying() {
	if !d.handover.relaying.Load() {
		return
	}
	d.handover.relaying.Store(false)
	d.logger.Log(hickoryevent.TransferTakenBack, hickorylog.Fields{"flows": d.tracker.Flows()})
}

// relay sends a received frame to the successor together with the endpoint of its
// sender. A frame from the successor holds a datagram and its target; that
// datagram is sent to the target from this agent's socket.
func (d *decider) relay(ctx context.Context, frame hickoryring.Frame) {
	if frame.Peer == d.handover.successor {
		if target, inner, ok := d.codec.DecodeRelayed(frame.Bytes); ok {
			d.countDropped(d.put(ctx, d.outgoing, target, inner, nil))
			return
		}
	}
	d.handover.relayedFrames.Add(1)
	if _, ok := d.codec.Decode(frame.Bytes, &d.decoded); ok && d.decoded.Message == nil {
		d.tracker.RecordRelayed(d.clock.Now(), &d.decoded.Packet)
	}
	encoded, err := d.codec.EncodeRelayed(frame.Peer, frame.Bytes)
	d.countDropped(d.put(ctx, d.outgoing, d.handover.successor, encoded, err))
}

// transferReceiver has the RPC method that a successor calls.
type transferReceiver struct {
	calls *hickoryring.TransferRing
}

// TransferFlows passes a call to the decide duty and waits up to answerTimeout for
// the answer.
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
