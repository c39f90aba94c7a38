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

// agentDecider passes received datagrams to steering, the hickorysteering.Agent that
// decides what to send, and encodes its actions as datagrams. It is not safe for
// concurrent use.
type agentDecider struct {
	clock       *hickoryclock.Clock
	translation Translation
	rings       agentRings
	recorder    *recorder
	steering    *hickorysteering.Agent
	// upstreamEndpoint is the address of the upstream's socket.
	upstreamEndpoint hickorymodel.Endpoint
	// dataPort is the port to which packets for callers are sent.
	dataPort  uint16
	draining  *atomic.Bool
	refusing  *atomic.Bool
	busyFlows *atomic.Int64
	// answeredAt is the hickorymodel.Instant at which the upstream last sent data.
	answeredAt *atomic.Int64
	flows      tally.Gauge
	// lineLength is the number of first packets that wait.
	lineLength tally.Gauge
	// answerTime counts the times from a request to the first bytes of its answer.
	answerTime tally.Histogram
	work       *workMetrics
	// lastEventAt is when an event was last handled, by hickoryclock.SinceBoot.
	lastEventAt time.Duration
	frame       decodedFrame
}

func (d *agentDecider) run(ctx context.Context) error {
	ticker := time.NewTicker(hickorysteering.TickInterval)
	defer ticker.Stop()
	answers := newIdleTimer()
	defer answers.Stop()
	answersDue := false
	lineTimer := newIdleTimer()
	defer lineTimer.Stop()
	lineTicks := false
	d.tick(ctx) // the first reports
	for {
		// The timers run only while answers or first packets wait.
		if !answersDue && d.steering.AnswersWaiting() {
			answersDue = true
			answers.Reset(hickorysteering.AnswerInterval)
		}
		if !lineTicks && d.steering.LineLength() > 0 {
			lineTicks = true
			lineTimer.Reset(hickorysteering.LineTickInterval)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-d.rings.fromBalancers.Items():
			d.handleFrame(ctx, frame)
		case frame := <-d.rings.fromUpstream.Items():
			d.handlePacket(ctx, frame)
		case <-ticker.C:
			d.tick(ctx)
		case <-answers.C:
			answersDue = false
			d.sendAnswers(ctx)
		case <-lineTimer.C:
			lineTicks = false
			d.perform(ctx, d.steering.ReleaseWaiting(d.clock.Now()))
			d.lineLength.Update(float64(d.steering.LineLength()))
		}
	}
}

// checkPause calls Resumed if more than maxEventGap has passed since the last event,
// which means that the process was paused.
func (d *agentDecider) checkPause() {
	now := hickoryclock.SinceBoot()
	if d.lastEventAt != 0 && now-d.lastEventAt > maxEventGap {
		d.steering.Resumed(d.clock.Now())
	}
	d.lastEventAt = now
}

// sendAnswers sends the answers to probes that have waited for others.
func (d *agentDecider) sendAnswers(ctx context.Context) {
	d.checkPause()
	d.perform(ctx, d.steering.SendAnswers(d.clock.Now()))
}

// newIdleTimer returns a timer that does not fire before its first Reset.
func newIdleTimer() *time.Timer {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}

// tick makes the agent refuse new flows once draining is set, and does the periodic
// work.
func (d *agentDecider) tick(ctx context.Context) {
	d.checkPause()
	now := d.clock.Now()
	if d.draining.Load() && !d.refusing.Load() {
		d.perform(ctx, d.steering.Stop(now))
		d.refusing.Store(true)
	}
	d.perform(ctx, d.steering.Tick(now))
	d.flows.Update(float64(d.steering.Flows()))
	d.work.update(now, d.steering)
	d.busyFlows.Store(int64(d.steering.BusyFlows()))
}

// handleFrame handles a datagram from a balancer, or a probe that another agent has passed
// on.
func (d *agentDecider) handleFrame(ctx context.Context, frame hickoryring.Frame) {
	d.checkPause()
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
	}
	// A probe goes to every agent, and few of its deliveries are those of a request.
	if kind == hickorysteering.KindProbe {
		d.perform(ctx, d.steering.HandleProbe(d.clock.Now(), frame.Peer, &d.frame.probe, d.frame.targets, &packet))
		return
	}
	d.logRequest(&packet)
	if kind == hickorysteering.KindOpenTerms {
		d.perform(ctx, d.steering.HandleOpenTerms(d.clock.Now(), frame.Peer, &d.frame.header, &d.frame.terms, &packet))
		return
	}
	d.perform(ctx, d.steering.HandleFrame(d.clock.Now(), frame.Peer, &d.frame.header, &packet))
}

// logRequest logs the id of the request that begins in a packet, with its flow.
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

// handlePacket handles a datagram from the upstream.
func (d *agentDecider) handlePacket(ctx context.Context, frame hickoryring.Frame) {
	d.checkPause()
	var packet hickorysteering.Packet
	if err := d.translation.DecodePacket(frame.Bytes, &packet); err != nil {
		d.recorder.reject(frame.Peer, err)
		return
	}
	now := d.clock.Now()
	if packet.Data > 0 && !packet.Returned {
		d.answeredAt.Store(int64(now))
	}
	d.perform(ctx, d.steering.HandleUpstream(now, &packet))
}

// perform sends the datagrams of the actions.
func (d *agentDecider) perform(ctx context.Context, actions []hickorysteering.Action) {
	for i := range actions {
		action := &actions[i]
		switch action.Verb {
		case hickorysteering.VerbDeliver:
			d.translation.MarkPacket(action.Payload, action.Mark)
			d.rings.toUpstream.Put(ctx, hickoryring.Frame{Peer: d.upstreamEndpoint, Bytes: action.Payload})
		case hickorysteering.VerbSendToCaller:
			d.rings.out.Put(ctx, hickoryring.Frame{Peer: callerEndpoint(action.Flow, d.dataPort), Bytes: action.Payload})
		default:
			d.rings.out.Put(ctx, hickoryring.Frame{Peer: action.Target, Bytes: encodeFrame(action)})
		}
	}
}
