package hickoryagent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickorysettings"
)

// decider turns frames into events of the tracker and its actions into frames.
// One goroutine uses it.
type decider struct {
	settings hickorysettings.Agent
	clock    *hickoryclock.Clock
	random   *rand.Rand
	logger   *hickorylog.Logger
	upstream hickorymodel.Endpoint
	// own is the agent's data socket.
	own       hickorymodel.Endpoint
	builder   *hickorytable.Builder
	tracker   *hickoryflow.Tracker
	drops     *hickorymetric.Drops
	outgoing  *hickoryring.FrameRing
	delivered *hickoryring.FrameRing
	draining  *atomic.Bool
	refusing  *atomic.Bool
	flows     *atomic.Int64
	handover  *handover
	// requests and limits join the duty that runs requests; requests is nil when
	// the upstream gets encapsulated packets.
	requests *hickoryring.RequestRing
	limits   *hickoryring.LimitRing
	// datagrams returns the number of datagrams on the data socket.
	datagrams func() uint64
	// scope is the scope of the own service's metrics.
	scope tally.Scope
	// lease is needed for packets to other agents, not for delivery.
	lease *hickoryrelay.LeaseCell

	// waiting is true while a successor does not have all flows yet.
	waiting bool
	// predecessor is the data socket that relays to this agent; it is unset
	// outside of a planned restart.
	predecessor hickorymodel.Endpoint
	// relayed is true while a datagram that the predecessor relayed is handled.
	relayed bool
	// service is the own service; table is nil until it is known.
	service      hickorymodel.Service
	table        *hickorytable.Table
	serviceKnown chan struct{}

	// stopped is true once the tracker takes no more flows.
	stopped bool
	// openingTime is the histogram of the time that the upstream takes to answer a first packet.
	openingTime tally.Histogram
	codec       *hickorygeneve.Codec
	decoded     hickorygeneve.Decoded
}

// init completes a decider whose exported parts are set.
func (d *decider) init() {
	d.codec = hickorygeneve.NewCodec()
	d.openingTime = tally.NoopScope.Histogram("opening_time", hickorymetric.OpeningTimeBuckets)
	d.tracker = d.newTracker()
	d.serviceKnown = make(chan struct{})
}

// deciderRings are what the decide duty reads.
type deciderRings struct {
	received  *hickoryring.FrameRing
	services  *hickoryring.ServiceRing
	transfers *hickoryring.TransferRing
	imports   *hickoryring.ImportRing
	// answered carries flows that the duty which runs requests has answered.
	answered *hickoryring.AnsweredRing
	// shares carries what the upstream's endpoints report.
	shares      *hickoryring.ShareRing
	inspections *hickoryring.InspectionRing
}

func (d *decider) run(ctx context.Context, rings deciderRings) error {
	ticker := time.NewTicker(hickoryflow.TickInterval)
	defer ticker.Stop()
	for {
		frames := rings.received.Items()
		if d.waiting {
			frames = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case set := <-rings.services.Items():
			d.setServices(set)
		case call := <-rings.transfers.Items():
			call.Reply <- d.answerTransfer(&call.Request)
		case step := <-rings.imports.Items():
			d.importStep(&step)
		case <-ticker.C:
			d.tick(ctx)
		case flow := <-rings.answered.Items():
			d.perform(ctx, d.tracker.HandleAnswer(d.clock.Now(), flow))
		case share := <-rings.shares.Items():
			d.tracker.SetCeiling(share)
		case inspection := <-rings.inspections.Items():
			d.inspect(inspection)
		case frame := <-frames:
			d.handle(ctx, frame)
		}
	}
}

// tick does what is due, and passes the state of the stop between Drain and the tracker.
func (d *decider) tick(ctx context.Context) {
	draining := d.draining.Load()
	if draining && !d.stopped {
		d.stop()
	}
	switch {
	case d.waiting:
	case d.handover.relaying.Load():
		d.tickRelaying()
	default:
		d.perform(ctx, d.tracker.Tick(d.clock.Now()))
	}
	d.flows.Store(int64(d.tracker.Flows()))
	d.refusing.Store(draining)
}

// stop refuses new flows and new requests from now on.
func (d *decider) stop() {
	d.stopped = true
	d.tracker.StopAccepting()
	if d.table != nil {
		d.limits.Put(hickoryring.RequestLimits{Service: d.service.Number, Slots: d.service.Slots})
	}
}

// setServices puts the own service in force. A set without it changes nothing:
// the flows of a service that was deleted go on until they end.
func (d *decider) setServices(set hickoryring.Services) {
	for _, service := range set {
		if service.Name != d.settings.Service {
			continue
		}
		d.tagMetrics(service)
		known := d.table != nil
		d.service = service
		d.table = d.builder.Build(d.clock.Now(), []hickorymodel.Service{service})
		d.applyService()
		if !known {
			close(d.serviceKnown)
		}
	}
}

func (d *decider) applyService() {
	if d.table != nil {
		d.tracker.SetService(d.service, d.table)
		d.limits.Put(hickoryring.RequestLimits{
			Service:   d.service.Number,
			Slots:     d.service.Slots,
			Accepting: !d.draining.Load() && d.tracker.Accepting(),
		})
	}
}

func (d *decider) handle(ctx context.Context, frame hickoryring.Frame) {
	if d.handover.relaying.Load() {
		d.relay(ctx, frame)
		return
	}
	frame, d.relayed = d.unwrap(frame)
	defer func() { d.relayed = false }()
	if reason, ok := d.codec.Decode(frame.Bytes, &d.decoded); !ok {
		d.drops.Add(reason)
		return
	}
	if message := d.decoded.Message; message != nil && message.Probe != nil {
		d.answerProbe(ctx, frame.Peer, message.Probe)
		return
	}
	if d.decoded.Message != nil {
		d.perform(ctx, d.tracker.HandleDatagram(d.clock.Now(), frame.Peer, d.decoded.Message))
		return
	}
	d.decoded.Packet.From = frame.Peer
	d.perform(ctx, d.tracker.Handle(d.clock.Now(), &d.decoded.Packet))
	d.flows.Store(int64(d.tracker.Flows()))
}

// answerProbe answers where the probe came from, which may be a new source port.
func (d *decider) answerProbe(ctx context.Context, from hickorymodel.Endpoint, probe *hickorymessage.Probe) {
	encoded, err := d.codec.EncodeMessage(&hickorymessage.Datagram{ProbeReply: &hickorymessage.ProbeReply{
		Sequence:  probe.Sequence,
		Upstream:  d.settings.Upstream,
		Accepting: d.tracker.Load().Accepting,
	}})
	d.count(d.send(ctx, from, encoded, err))
}

func (d *decider) perform(ctx context.Context, actions []hickoryflow.Action) {
	for i := range actions {
		d.count(d.performOne(ctx, &actions[i]))
	}
}

// count counts a packet that was not passed on.
func (d *decider) count(reason hickorymessage.DropReason, ok bool) {
	if !ok {
		d.drops.Add(reason)
	}
}

func (d *decider) performOne(ctx context.Context, action *hickoryflow.Action) (hickorymessage.DropReason, bool) {
	switch action.Verb {
	case hickoryflow.VerbDeliver:
		return d.deliver(ctx, action)
	case hickoryflow.VerbForward:
		if !d.lease.Allows(d.clock.Now()) {
			return hickorymessage.DropReasonStaleTable, false
		}
		encoded, err := d.codec.EncodePacket(action.Packet)
		return d.send(ctx, action.Target, encoded, err)
	case hickoryflow.VerbSend:
		encoded, err := d.codec.EncodeMessage(action.Datagram)
		return d.send(ctx, action.Target, encoded, err)
	case hickoryflow.VerbMeasure:
		d.openingTime.RecordDuration(action.Elapsed)
		return "", true
	default:
		return action.Reason, false
	}
}

// send puts a datagram for another process into the ring, by way of the
// predecessor where the receiver knows the agent by that endpoint.
func (d *decider) send(ctx context.Context, target hickorymodel.Endpoint, encoded []byte, err error) (hickorymessage.DropReason, bool) {
	if err == nil && d.throughPredecessor() {
		encoded, err = d.codec.EncodeRelayed(target, append([]byte(nil), encoded...))
		target = d.predecessor
	}
	return d.put(ctx, d.outgoing, target, encoded, err)
}

func (d *decider) put(ctx context.Context, ring *hickoryring.FrameRing, target hickorymodel.Endpoint, encoded []byte, err error) (hickorymessage.DropReason, bool) {
	if err != nil {
		return hickorymessage.DropReasonSendFailed, false
	}
	frame := hickoryring.Frame{Peer: target, Bytes: append([]byte(nil), encoded...)}
	return hickorymessage.DropReasonRingOverflow, ring.Put(ctx, frame)
}

// deliver hands a packet to the upstream, or its payload to the duty that runs requests.
func (d *decider) deliver(ctx context.Context, action *hickoryflow.Action) (hickorymessage.DropReason, bool) {
	if d.requests == nil {
		encoded, err := d.codec.EncodePlain(action.Packet.Service, action.Packet.Payload)
		return d.put(ctx, d.delivered, d.upstream, encoded, err)
	}
	payload, ok := hickorygeneve.UDPPayload(action.Packet.Payload)
	if !ok {
		return hickorymessage.DropReasonMalformed, false
	}
	return hickorymessage.DropReasonRingOverflow, d.requests.Put(hickoryring.RequestDatagram{
		Flow:         action.Packet.Key,
		CertainSince: action.CertainSince,
		Payload:      append([]byte(nil), payload...),
	})
}
