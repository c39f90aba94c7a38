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

// decider is the state of the decide duty: it decodes frames, passes them to the
// tracker, and encodes the tracker's actions as frames. One goroutine uses it.
type decider struct {
	settings hickorysettings.Agent
	clock    *hickoryclock.Clock
	random   *rand.Rand
	logger   *hickorylog.Logger
	upstream hickorymodel.Endpoint
	// ownEndpoint is the agent's data socket.
	ownEndpoint hickorymodel.Endpoint
	builder     *hickorytable.Builder
	tracker     *hickoryflow.Tracker
	drops       *hickorymetric.Drops
	outgoing    *hickoryring.FrameRing
	delivered   *hickoryring.FrameRing
	draining    *atomic.Bool
	refusing    *atomic.Bool
	flows       *atomic.Int64
	handover    *handover
	// requests and limits carry callers' datagrams and the service's limits to the
	// exchange duty, which runs the requests of a datagram server. requests is nil
	// if the upstream gets encapsulated packets.
	requests *hickoryring.RequestRing
	limits   *hickoryring.LimitRing
	// datagramsReceived returns the number of datagrams that the data socket has
	// received.
	datagramsReceived func() uint64
	// scope is the parent scope of the service's metrics.
	scope tally.Scope
	// lease must be valid for forwarding packets to other agents, but not for
	// delivery to the upstream.
	lease *hickoryrelay.LeaseCell
	// services carries the services in force.
	services *hickoryring.ServiceRing
	// mayForward is true if the lease allowed forwarding when the event that is being
	// handled began, before newer services were taken from the ring.
	mayForward bool

	// importing is true at a successor until it has imported all flows or its
	// predecessor counts as ended. Received packets stay in their ring meanwhile.
	importing bool
	// predecessor is the data socket of the process that relays to this agent. It
	// is unset outside of a planned restart.
	predecessor hickorymodel.Endpoint
	// frameRelayed is true while a frame that the predecessor relayed is handled.
	frameRelayed bool
	// service is the agent's service as the accepted section states it. table is
	// nil until the first one has been applied.
	service hickorymodel.Service
	table   *hickorytable.Table
	// serviceApplied is closed when the first service has been applied.
	serviceApplied chan struct{}

	// stoppedAccepting is set by stopAccepting and never reset.
	stoppedAccepting bool
	// openingTime is the histogram of the time that the upstream takes to answer
	// the first packet of a flow.
	openingTime tally.Histogram
	codec       *hickorygeneve.Codec
	decoded     hickorygeneve.Decoded
}

// init sets the fields of the decider that are created from its other fields.
func (d *decider) init() {
	d.codec = hickorygeneve.NewCodec()
	d.openingTime = tally.NoopScope.Histogram("opening_time", hickorymetric.OpeningTimeBuckets)
	d.tracker = d.newTracker()
	d.serviceApplied = make(chan struct{})
}

// deciderRings holds the rings that the decide duty reads.
type deciderRings struct {
	received  *hickoryring.FrameRing
	transfers *hickoryring.TransferRing
	imports   *hickoryring.ImportRing
	// answered carries the flows of requests that the upstream has answered.
	answered *hickoryring.AnsweredRing
	// shares carries the share of its capacity that the upstream reports.
	shares      *hickoryring.ShareRing
	inspections *hickoryring.InspectionRing
}

func (d *decider) run(ctx context.Context, rings deciderRings) error {
	ticker := time.NewTicker(hickoryflow.TickInterval)
	defer ticker.Stop()
	for {
		frames := rings.received.Items()
		if d.importing {
			frames = nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case set := <-d.services.Items():
			d.setServices(set)
		case call := <-rings.transfers.Items():
			call.Reply <- d.answerTransfer(&call.Request)
		case step := <-rings.imports.Items():
			d.importStep(&step)
		case <-ticker.C:
			d.tick(ctx)
		case flow := <-rings.answered.Items():
			d.applyPendingServices()
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

// tick runs the periodic work of the tracker. It also applies a call of Drain,
// and publishes the number of flows and whether new flows are refused.
func (d *decider) tick(ctx context.Context) {
	d.applyPendingServices()
	draining := d.draining.Load()
	if draining && !d.stoppedAccepting {
		d.stopAccepting()
	}
	switch {
	case d.importing:
	case d.handover.relaying.Load():
		d.tickRelaying()
	default:
		d.perform(ctx, d.tracker.Tick(d.clock.Now()))
	}
	d.flows.Store(int64(d.tracker.Flows()))
	d.refusing.Store(draining)
}

// applyPendingServices reads the lease and then applies the services in the ring, if
// there are newer ones. The relay puts services in the ring before it stores the lease
// that was granted for them, so the service is never older than those of the lease.
func (d *decider) applyPendingServices() {
	d.mayForward = d.lease.Allows(d.clock.Now())
	select {
	case set := <-d.services.Items():
		d.setServices(set)
	default:
	}
}

// stopAccepting refuses new flows and new requests from now on.
func (d *decider) stopAccepting() {
	d.stoppedAccepting = true
	d.tracker.StopAccepting()
	if d.table != nil {
		d.limits.Put(hickoryring.RequestLimits{Service: d.service.Number, Slots: d.service.Slots})
	}
}

// setServices applies the agent's service from a set of services. A set without
// it changes nothing: the flows of a deleted service continue until they end.
func (d *decider) setServices(set hickoryring.Services) {
	for _, service := range set {
		if service.Name != d.settings.Service {
			continue
		}
		d.tagMetrics(service)
		hadService := d.table != nil
		d.service = service
		d.table = d.builder.Build(d.clock.Now(), []hickorymodel.Service{service})
		d.applyService()
		if !hadService {
			close(d.serviceApplied)
		}
	}
}

// applyService passes the service to the tracker and its limits to the exchange
// duty.
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
	d.applyPendingServices()
	if d.handover.relaying.Load() {
		d.relay(ctx, frame)
		return
	}
	frame, d.frameRelayed = d.unwrap(frame)
	defer func() { d.frameRelayed = false }()
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

// answerProbe sends the reply to the endpoint that the probe came from, which may
// have a new source port.
func (d *decider) answerProbe(ctx context.Context, from hickorymodel.Endpoint, probe *hickorymessage.Probe) {
	encoded, err := d.codec.EncodeMessage(&hickorymessage.Datagram{ProbeReply: &hickorymessage.ProbeReply{
		Sequence:  probe.Sequence,
		Upstream:  d.settings.Upstream,
		Accepting: d.tracker.Load().Accepting,
	}})
	d.countDropped(d.send(ctx, from, encoded, err))
}

func (d *decider) perform(ctx context.Context, actions []hickoryflow.Action) {
	for i := range actions {
		d.countDropped(d.performOne(ctx, &actions[i]))
	}
}

// countDropped counts a dropped packet, unless ok is true.
func (d *decider) countDropped(reason hickorymessage.DropReason, ok bool) {
	if !ok {
		d.drops.Add(reason)
	}
}

// performOne performs one action of the tracker. It returns false and the reason if
// the action's packet was dropped.
func (d *decider) performOne(ctx context.Context, action *hickoryflow.Action) (hickorymessage.DropReason, bool) {
	switch action.Verb {
	case hickoryflow.VerbDeliver:
		return d.deliver(ctx, action)
	case hickoryflow.VerbForward:
		if !d.mayForward || !d.lease.Allows(d.clock.Now()) {
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

// send queues a datagram for another process. It is sent through the predecessor
// if the receiver expects it from the predecessor's endpoint.
func (d *decider) send(ctx context.Context, target hickorymodel.Endpoint, encoded []byte, err error) (hickorymessage.DropReason, bool) {
	if err == nil && d.throughPredecessor() {
		encoded, err = d.codec.EncodeRelayed(target, append([]byte(nil), encoded...))
		target = d.predecessor
	}
	return d.put(ctx, d.outgoing, target, encoded, err)
}

// put copies an encoded datagram into a ring. It returns false and the reason if
// the datagram is dropped: err is not nil, or the ring is full.
func (d *decider) put(ctx context.Context, ring *hickoryring.FrameRing, target hickorymodel.Endpoint, encoded []byte, err error) (hickorymessage.DropReason, bool) {
	if err != nil {
		return hickorymessage.DropReasonSendFailed, false
	}
	frame := hickoryring.Frame{Peer: target, Bytes: append([]byte(nil), encoded...)}
	return hickorymessage.DropReasonRingOverflow, ring.Put(ctx, frame)
}

// deliver queues a packet for the upstream, or its payload for the exchange duty
// if the upstream is a datagram server.
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
