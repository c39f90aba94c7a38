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

// maxEventGap is the longest time between two events that does not count as a pause
// of the process: a tick, and the scheduling delay of a process that gets a small
// share of a processor.
const maxEventGap = 300 * time.Millisecond

// balancerDecider passes received datagrams and views of the directory to steering,
// the hickorysteering.Balancer that decides what to send, and encodes its actions as
// datagrams. It is not safe for concurrent use.
type balancerDecider struct {
	clock         *hickoryclock.Clock
	translation   Translation
	rings         balancerRings
	recorder      *recorder
	logger        *hickorylog.Logger
	steering      *hickorysteering.Balancer
	draining      *atomic.Bool
	callerPackets *atomic.Uint64
	serving       *atomic.Bool
	flows         tally.Gauge
	// viewWait has the times from a view of the directory to its use.
	viewWait tally.Histogram
	speeds   *speedGauges
	// dataPort is the port to which packets for callers are sent.
	dataPort uint16

	// lastEventAt is when an event was last handled, by hickoryclock.SinceBoot, which
	// also counts while the machine is suspended.
	lastEventAt time.Duration
	// version is that of the configuration in force.
	version int
	// stateComplete is true once steering has a view of the complete state.
	stateComplete bool
	start         balancerStart
	frame         decodedFrame
}

func (d *balancerDecider) run(ctx context.Context) error {
	timer := time.NewTimer(hickorysteering.TickInterval)
	defer timer.Stop()
	searching := false
	for {
		// Without a complete state no upstream can be chosen, and without an answer of any
		// agent none that is known to run, so the packets of callers stay in their ring.
		packets := d.rings.fromCallers.Items()
		if !d.stateComplete || d.steering.Holding(d.clock.Now()) {
			packets = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update := <-d.rings.views.Items():
			d.applyUpdate(ctx, update)
		case frame := <-packets:
			d.handlePacket(ctx, frame)
		case frame := <-d.rings.fromAgents.Items():
			d.handleFrame(ctx, frame)
		case call := <-d.rings.choiceCalls.Items():
			explanation := d.steering.Explain(d.clock.Now(), call.Flow)
			call.Reply <- choiceReply(&explanation)
		case <-timer.C:
			d.advance(ctx)
			searching = d.steering.Searching()
			timer.Reset(tickInterval(searching))
		}
		// A search that has just begun needs a tick earlier than the pending one.
		if !searching && d.steering.Searching() {
			searching = true
			timer.Reset(tickInterval(searching))
		}
	}
}

// advance handles what has arrived from agents, and then what is due.
func (d *balancerDecider) advance(ctx context.Context) {
	d.handleWaitingFrames(ctx)
	d.tick(ctx)
}

// handleWaitingFrames handles the frames that have arrived from agents. A tick asks further
// agents because others have not answered, so it comes after the answers that are there.
func (d *balancerDecider) handleWaitingFrames(ctx context.Context) {
	for range len(d.rings.fromAgents.Items()) {
		select {
		case frame := <-d.rings.fromAgents.Items():
			d.handleFrame(ctx, frame)
		default:
			return // the ring has dropped some
		}
	}
}

// checkPause calls Resumed if more than maxEventGap has passed since the last event,
// which means that the process was paused.
func (d *balancerDecider) checkPause() {
	now := hickoryclock.SinceBoot()
	if d.lastEventAt != 0 && now-d.lastEventAt > maxEventGap {
		d.steering.Resumed(d.clock.Now())
	}
	d.lastEventAt = now
}

// tickInterval returns the time until the next tick.
func tickInterval(searching bool) time.Duration {
	if searching {
		return hickorysteering.SearchTickInterval
	}
	return hickorysteering.TickInterval
}

// applyUpdate applies what is new of the published state.
func (d *balancerDecider) applyUpdate(ctx context.Context, update hickoryring.DirectoryUpdate) {
	d.checkPause()
	if update.View != nil {
		d.stateComplete = update.View.StateComplete
		d.perform(ctx, d.steering.SetView(d.clock.Now(), update.View))
		d.recordView(&update)
	}
	d.perform(ctx, d.steering.Confirm(d.clock.Now(), update.ConfirmedUntil))
	d.updateServing()
}

// lateView is the wait from which on a view is logged whose configuration is not new.
const lateView = 100 * time.Millisecond

// recordView records that a view is in force.
func (d *balancerDecider) recordView(update *hickoryring.DirectoryUpdate) {
	waited := d.clock.Now().Sub(update.PublishedAt)
	d.viewWait.RecordDuration(waited)
	if update.View.Version == d.version && waited < lateView {
		return
	}
	d.version = update.View.Version
	d.logger.Log(hickoryevent.ViewInForce, hickorylog.Fields{"version": d.version, "routes": len(update.View.Routes), "waitedMillis": int(waited.Milliseconds())})
}

func (d *balancerDecider) tick(ctx context.Context) {
	d.checkPause()
	d.perform(ctx, d.steering.Tick(d.clock.Now()))
	d.flows.Update(float64(d.steering.Flows()))
	d.speeds.update(d.clock.Now(), d.steering)
	d.updateServing()
}

// updateServing updates serving and logs each change.
func (d *balancerDecider) updateServing() {
	isolated := d.steering.Isolated(d.clock.Now())
	serving := d.stateComplete && !isolated
	if serving == d.serving.Load() {
		return
	}
	d.serving.Store(serving)
	event := hickoryevent.BecameUnready
	if serving {
		event = hickoryevent.BecameReady
	}
	d.logger.LogStartStep(event, hickorylog.Fields{"known": d.stateComplete, "isolated": isolated, "draining": d.draining.Load()})
}

// handlePacket handles a datagram from a caller.
func (d *balancerDecider) handlePacket(ctx context.Context, frame hickoryring.Frame) {
	d.checkPause()
	d.callerPackets.Add(1)
	var packet hickorysteering.Packet
	if err := d.translation.DecodePacket(frame.Bytes, &packet); err != nil {
		d.reject(frame.Peer, err)
		return
	}
	d.perform(ctx, d.steering.Handle(d.clock.Now(), &packet))
	d.start.recordFlows(d.logger, d.steering)
}

// handleFrame handles a datagram from an agent.
func (d *balancerDecider) handleFrame(ctx context.Context, frame hickoryring.Frame) {
	d.checkPause()
	if err := decodeFrame(frame.Bytes, &d.frame); err != nil {
		d.reject(frame.Peer, err)
		return
	}
	now := d.clock.Now()
	defer d.start.recordAgents(d.logger, d.steering)
	reason := hickorysteering.Reason(d.frame.header.Reason)
	switch hickorysteering.Kind(d.frame.header.Kind) {
	case hickorysteering.KindReport:
		d.steering.HandleReport(now, frame.Peer, &d.frame.header, &d.frame.report, d.frame.addresses)
	case hickorysteering.KindWorkReport:
		d.steering.HandleWorkReport(now, frame.Peer, &d.frame.header, &d.frame.work, &d.frame.report, d.frame.addresses)
	case hickorysteering.KindNotice:
		d.perform(ctx, d.steering.HandleNotice(now, frame.Peer, reason, hickorysteering.FlowOf(d.frame.notice)))
	case hickorysteering.KindAnswers:
		d.perform(ctx, d.steering.HandleAnswers(now, frame.Peer, d.frame.answers))
	case hickorysteering.KindReturn, hickorysteering.KindWorkReturn:
		var packet hickorysteering.Packet
		if err := d.translation.DecodePacket(d.frame.payload, &packet); err != nil {
			d.reject(frame.Peer, err)
			return
		}
		d.perform(ctx, d.handleReturn(now, frame.Peer, &packet))
	default:
		d.reject(frame.Peer, errInvalidFrame)
	}
}

// handleReturn handles a packet that an agent has returned in the frame just decoded.
func (d *balancerDecider) handleReturn(now hickorymodel.Instant, from hickorymodel.Endpoint, packet *hickorysteering.Packet) []hickorysteering.Action {
	reason := hickorysteering.Reason(d.frame.header.Reason)
	if hickorysteering.Kind(d.frame.header.Kind) == hickorysteering.KindWorkReturn {
		return d.steering.HandleWorkReturn(now, from, reason, &d.frame.work, packet)
	}
	return d.steering.HandleReturn(now, from, reason, packet)
}

func (d *balancerDecider) reject(peer hickorymodel.Endpoint, err error) {
	d.recorder.reject(peer, err)
}

// perform requests a confirmation of the published state if a search needs one, and
// sends the datagrams of the actions.
func (d *balancerDecider) perform(ctx context.Context, actions []hickorysteering.Action) {
	if d.steering.NeedsConfirmation() {
		d.rings.confirmRequests.Put()
	}
	for i := range actions {
		action := &actions[i]
		if action.Verb == hickorysteering.VerbReset {
			d.rings.toCallers.Put(ctx, hickoryring.Frame{
				Peer:  callerEndpoint(action.Flow, d.dataPort),
				Bytes: d.translation.EncodeReset(action.Flow, action.Sequence),
			})
			continue
		}
		d.rings.toAgents.Put(ctx, hickoryring.Frame{Peer: action.Target, Bytes: encodeFrame(action)})
	}
}

// callerEndpoint returns the endpoint to which packets for the caller of a flow are
// sent: the caller's address, with the port that all processes of the fabric use.
func callerEndpoint(flow hickorymodel.FlowKey, port uint16) hickorymodel.Endpoint {
	endpoint, _ := hickorymodel.NewEndpoint(flow.Source.AddrPort())
	endpoint.Port = port
	return endpoint
}
