package hickoryfabric

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
)

// agentDecider turns datagrams into events of the steering and its actions into
// datagrams. One goroutine uses it.
type agentDecider struct {
	clock       *hickoryclock.Clock
	translation Translation
	rings       agentRings
	recorder    *recorder
	steering    *hickorysteering.Agent
	// target is the socket of the upstream.
	target hickorymodel.Endpoint
	// port is the port of callers.
	port     uint16
	draining *atomic.Bool
	refusing *atomic.Bool
	busy     *atomic.Int64
	flows    tally.Gauge
	// answerTime is the time from a request to the first bytes of its answer.
	answerTime tally.Histogram
	frame      decodedFrame
}

func (d *agentDecider) run(ctx context.Context) error {
	ticker := time.NewTicker(hickorysteering.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-d.rings.fromBalancers.Items():
			d.handleFrame(ctx, frame)
		case frame := <-d.rings.fromUpstream.Items():
			d.handlePacket(ctx, frame)
		case <-ticker.C:
			d.tick(ctx)
		}
	}
}

func (d *agentDecider) tick(ctx context.Context) {
	now := d.clock.Now()
	if d.draining.Load() && !d.refusing.Load() {
		d.perform(ctx, d.steering.Stop(now))
		d.refusing.Store(true)
	}
	d.perform(ctx, d.steering.Tick(now))
	d.flows.Update(float64(d.steering.Flows()))
	d.busy.Store(int64(d.steering.BusyFlows()))
}

func (d *agentDecider) handleFrame(ctx context.Context, frame hickoryring.Frame) {
	if err := decodeFrame(frame.Bytes, &d.frame); err != nil {
		d.recorder.reject(frame.Peer, err)
		return
	}
	kind := hickorysteering.Kind(d.frame.header.Kind)
	if kind == hickorysteering.KindQuery {
		d.perform(ctx, d.steering.HandleQuery(d.clock.Now(), frame.Peer, &d.frame.query, d.frame.flows))
		return
	}
	var packet hickorysteering.Packet
	if kind != hickorysteering.KindHello {
		if err := d.translation.DecodePacket(d.frame.payload, &packet); err != nil {
			d.recorder.reject(frame.Peer, err)
			return
		}
		d.logRequest(&packet)
	}
	d.perform(ctx, d.steering.HandleFrame(d.clock.Now(), frame.Peer, &d.frame.header, &packet))
}

// logRequest joins the id of a request to its flow.
func (d *agentDecider) logRequest(packet *hickorysteering.Packet) {
	if packet.Data == 0 {
		return
	}
	id := d.translation.RequestID(packet.Bytes)
	if id == "" {
		return
	}
	d.recorder.log(hickoryevent.RequestDelivered, func() hickorylog.Fields {
		fields := hickorylog.Fields{"request": id, "busy": d.steering.BusyFlows()}
		addFlow(fields, packet.Flow)
		return fields
	})
}

func (d *agentDecider) handlePacket(ctx context.Context, frame hickoryring.Frame) {
	var packet hickorysteering.Packet
	if err := d.translation.DecodePacket(frame.Bytes, &packet); err != nil {
		d.recorder.reject(frame.Peer, err)
		return
	}
	d.perform(ctx, d.steering.HandleUpstream(d.clock.Now(), &packet))
}

func (d *agentDecider) perform(ctx context.Context, actions []hickorysteering.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Verb {
		case hickorysteering.VerbDeliver:
			d.translation.MarkPacket(action.Payload, action.Mark)
			d.rings.toUpstream.Put(ctx, hickoryring.Frame{Peer: d.target, Bytes: action.Payload})
		case hickorysteering.VerbSendToCaller:
			d.rings.out.Put(ctx, hickoryring.Frame{Peer: callerEndpoint(action.Flow, d.port), Bytes: action.Payload})
		default:
			d.rings.out.Put(ctx, hickoryring.Frame{Peer: action.Target, Bytes: encodeFrame(action)})
		}
	}
}
