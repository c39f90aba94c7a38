package hickorybalancer

import (
	"context"
	"sync/atomic"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymember"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickorysettings"
)

// decider chooses the agent for each packet of the fabric, and handles the messages
// of agents. Only the decide duty uses it.
type decider struct {
	settings hickorysettings.Balancer
	clock    *hickoryclock.Clock
	builder  *hickorytable.Builder
	drops    *hickorymetric.Drops
	outgoing *hickoryring.FrameRing
	inputs   inputs
	// received returns the number of datagrams that the data socket has received.
	received func() uint64
	// draining reports whether a graceful stop is under way.
	draining func() bool
	// replies carries the answers to probes to the membership duty.
	replies *hickoryring.ProbeReplyRing
	// packetCount is the number of packets received from the fabric; Drain reads it.
	packetCount *atomic.Uint64
	// lease allows the balancer to forward packets while its services are fresh.
	lease *hickoryrelay.LeaseCell
	// handleNewerGeneration is called with each NewerGeneration message. An agent
	// sends it when a newer section is in force at the agent than at this balancer.
	handleNewerGeneration func(from hickorymodel.Endpoint, message hickorymessage.NewerGeneration)

	// table is nil until the first services have been received.
	table    *hickorytable.Table
	services hickoryring.Services
	ejected  hickoryring.Ejected
	codec    *hickorygeneve.Codec
	// decoded and choice are reused for each packet.
	decoded hickorygeneve.Decoded
	choice  hickorytable.Choice
}

// inputs are the rings that a decider reads.
type inputs struct {
	received    *hickoryring.FrameRing
	services    *hickoryring.ServiceRing
	ejected     *hickoryring.EjectedRing
	inspections *hickoryring.InspectionRing
}

func (d *decider) init() {
	d.codec = hickorygeneve.NewCodec()
}

func (d *decider) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d.services = <-d.inputs.services.Items():
			d.rebuildTable()
		case d.ejected = <-d.inputs.ejected.Items():
			if d.table != nil {
				d.rebuildTable()
			}
		case inspection := <-d.inputs.inspections.Items():
			d.inspect(inspection)
		case frame := <-d.inputs.received.Items():
			if reason, ok := d.handle(ctx, frame); !ok {
				d.drops.Add(reason)
			}
		}
	}
}

func (d *decider) rebuildTable() {
	d.table = d.builder.Build(d.clock.Now(), withEjected(d.services, d.ejected))
}

// handle handles one received frame: a message of an agent, or a packet, which it
// puts in the ring to the send duty with its candidate list. It returns false and
// the reason when the frame is dropped.
func (d *decider) handle(ctx context.Context, frame hickoryring.Frame) (hickorymessage.DropReason, bool) {
	if reason, ok := d.codec.DecodePlain(frame.Bytes, &d.decoded); !ok {
		return reason, false
	}
	if d.decoded.Message != nil {
		d.handleMessage(frame.Peer, d.decoded.Message)
		return "", true
	}
	d.packetCount.Add(1)
	if !d.lease.Allows(d.clock.Now()) {
		return hickorymessage.DropReasonStaleTable, false
	}
	d.applyPendingServices()
	if d.table == nil {
		return hickorymessage.DropReasonStaleTable, false
	}
	packet := &d.decoded.Packet
	if !d.table.Choose(d.clock.Now(), &packet.Key, &d.choice) {
		return hickorymessage.DropReasonUnknownAddress, false
	}
	if d.choice.Count == 0 {
		return hickorymessage.DropReasonNoUpstream, false
	}
	packet.Header = header(&d.choice)
	encoded, err := d.codec.EncodePacket(packet)
	if err != nil {
		return hickorymessage.DropReasonSendFailed, false
	}
	out := hickoryring.Frame{
		Peer:  packet.Candidates[0].Endpoint,
		Bytes: append([]byte(nil), encoded...),
	}
	return hickorymessage.DropReasonRingOverflow, d.outgoing.Put(ctx, out)
}

func (d *decider) handleMessage(from hickorymodel.Endpoint, message *hickorymessage.Datagram) {
	if reply := message.ProbeReply; reply != nil {
		d.replies.Put(hickorymember.Reply{
			Sequence:  reply.Sequence,
			Upstream:  reply.Upstream,
			Accepting: reply.Accepting,
		})
	}
	if newer := message.NewerGeneration; newer != nil {
		d.handleNewerGeneration(from, *newer)
	}
}

// applyPendingServices rebuilds the table if the ring has newer services. The relay
// puts services in the ring before it stores the lease that was granted for them.
// handle therefore reads the lease before it calls applyPendingServices: the table
// is then never older than the services of that lease.
func (d *decider) applyPendingServices() {
	select {
	case d.services = <-d.inputs.services.Items():
		d.rebuildTable()
	default:
	}
}

func header(choice *hickorytable.Choice) hickoryflow.Header {
	h := hickoryflow.Header{
		Service:    choice.Service,
		Generation: choice.Generation,
		Candidates: choice.Candidates,
	}
	if choice.Transition {
		h.Flags = hickoryflow.FlagTransition
	}
	return h
}
