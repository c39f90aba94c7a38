package hickoryfabric

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
)

// pauseLimit is the longest time between two turns of the loop of a process that
// runs: a tick, and the delay of a small share of a processor.
const pauseLimit = 300 * time.Millisecond

// balancerDecider turns datagrams into events of the steering and its actions
// into datagrams. One goroutine uses it.
type balancerDecider struct {
	clock       *hickoryclock.Clock
	translation Translation
	rings       balancerRings
	recorder    *recorder
	logger      *hickorylog.Logger
	steering    *hickorysteering.Balancer
	draining    *atomic.Bool
	packets     *atomic.Uint64
	serving     *atomic.Bool
	flows       tally.Gauge
	// port is the port of callers.
	port uint16

	// ranAt is when an event was last handled, by the clock that counts suspensions.
	ranAt time.Duration
	// known is true once a whole view is in force.
	known bool
	frame decodedFrame
}

func (d *balancerDecider) run(ctx context.Context) error {
	timer := time.NewTimer(hickorysteering.TickInterval)
	defer timer.Stop()
	searching := false
	for {
		// Packets wait in their ring until there is something to decide with.
		packets := d.rings.fromCallers.Items()
		if !d.known {
			packets = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case view := <-d.rings.views.Items():
			d.setView(ctx, view)
		case frame := <-packets:
			d.handlePacket(ctx, frame)
		case frame := <-d.rings.fromAgents.Items():
			d.handleFrame(ctx, frame)
		case <-timer.C:
			d.tick(ctx)
			searching = d.steering.Searching()
			timer.Reset(tickTime(searching))
		}
		// A search that has just begun is due earlier than the next tick.
		if !searching && d.steering.Searching() {
			searching = true
			timer.Reset(tickTime(searching))
		}
	}
}

// checkPause tells the steering when the process has not run for a time.
func (d *balancerDecider) checkPause() {
	now := hickoryclock.Boot()
	if d.ranAt != 0 && now-d.ranAt > pauseLimit {
		d.steering.Resumed(d.clock.Now())
	}
	d.ranAt = now
}

func tickTime(searching bool) time.Duration {
	if searching {
		return hickorysteering.SearchTickInterval
	}
	return hickorysteering.TickInterval
}

func (d *balancerDecider) setView(ctx context.Context, view *hickorydirectory.View) {
	d.checkPause()
	d.known = view.StateComplete
	d.perform(ctx, d.steering.SetView(d.clock.Now(), view))
	d.updateServing()
}

func (d *balancerDecider) tick(ctx context.Context) {
	d.checkPause()
	d.perform(ctx, d.steering.Tick(d.clock.Now()))
	d.flows.Update(float64(d.steering.Flows()))
	d.updateServing()
}

// updateServing logs each change of the readiness.
func (d *balancerDecider) updateServing() {
	isolated := d.steering.Isolated(d.clock.Now())
	serving := d.known && !isolated
	if serving == d.serving.Load() {
		return
	}
	d.serving.Store(serving)
	event := hickoryevent.BecameUnready
	if serving {
		event = hickoryevent.BecameReady
	}
	d.logger.Log(event, hickorylog.Fields{"known": d.known, "isolated": isolated, "draining": d.draining.Load()})
}

func (d *balancerDecider) handlePacket(ctx context.Context, frame hickoryring.Frame) {
	d.checkPause()
	d.packets.Add(1)
	var packet hickorysteering.Packet
	if err := d.translation.DecodePacket(frame.Bytes, &packet); err != nil {
		d.reject(frame.Peer, err)
		return
	}
	d.perform(ctx, d.steering.Handle(d.clock.Now(), &packet))
}

func (d *balancerDecider) handleFrame(ctx context.Context, frame hickoryring.Frame) {
	d.checkPause()
	if err := decodeFrame(frame.Bytes, &d.frame); err != nil {
		d.reject(frame.Peer, err)
		return
	}
	now := d.clock.Now()
	reason := hickorysteering.Reason(d.frame.header.Reason)
	switch hickorysteering.Kind(d.frame.header.Kind) {
	case hickorysteering.KindReport:
		d.steering.HandleReport(now, frame.Peer, &d.frame.header, &d.frame.report, d.frame.addresses)
	case hickorysteering.KindNotice:
		d.perform(ctx, d.steering.HandleNotice(now, frame.Peer, reason, hickorysteering.FlowOf(d.frame.notice)))
	case hickorysteering.KindAnswers:
		d.perform(ctx, d.steering.HandleAnswers(now, frame.Peer, d.frame.answers))
	case hickorysteering.KindReturn:
		var packet hickorysteering.Packet
		if err := d.translation.DecodePacket(d.frame.payload, &packet); err != nil {
			d.reject(frame.Peer, err)
			return
		}
		d.perform(ctx, d.steering.HandleReturn(now, frame.Peer, reason, &packet))
	default:
		d.reject(frame.Peer, errFrame)
	}
}

func (d *balancerDecider) reject(peer hickorymodel.Endpoint, err error) {
	d.recorder.reject(peer, err)
}

func (d *balancerDecider) perform(ctx context.Context, actions []hickorysteering.Action) {
	if d.steering.NeedsConfirmation() {
		d.rings.wakes.Put()
	}
	for i := range actions {
		action := &actions[i]
		if action.Verb == hickorysteering.VerbReset {
			d.rings.toCallers.Put(ctx, hickoryring.Frame{
				Peer:  callerEndpoint(action.Flow, d.port),
				Bytes: d.translation.EncodeReset(action.Flow, action.Sequence),
			})
			continue
		}
		d.rings.toAgents.Put(ctx, hickoryring.Frame{Peer: action.Target, Bytes: encodeFrame(action)})
	}
}

// callerEndpoint returns the socket of the caller of a flow: its address, and
// the port that all processes of the fabric use.
func callerEndpoint(flow hickorymodel.FlowKey, port uint16) hickorymodel.Endpoint {
	endpoint, _ := hickorymodel.NewEndpoint(flow.Source.AddrPort())
	endpoint.Port = port
	return endpoint
}
