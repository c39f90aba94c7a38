package hickorysteering

import "hickoryworks/core/hickorymodel"

// Packet holds the fields of a packet that the decisions depend on.
type Packet struct {
	// Flow has the sender of the packet as its source.
	Flow hickorymodel.FlowKey
	// First is true for the packet that opens a flow (SYN) and for its
	// retransmissions.
	First bool
	// Answer is true for an upstream's answer to a first packet (SYN-ACK).
	Answer bool
	// Reset is true for a packet that aborts the flow (RST).
	Reset bool
	// Finish is true for the last packet of its sender (FIN).
	Finish bool
	// Returned is true when the upstream returned the packet, because it does not
	// hold the flow or accepts no more connections.
	Returned bool
	// Mark is the value that the agent wrote into the packet when it delivered it.
	Mark uint32
	// Copy is the number of the retransmission of a first packet, 0 for the
	// original.
	Copy uint32
	// Sequence and Acknowledged are the sequence and acknowledgement numbers of the
	// packet, as in TCP.
	Sequence     uint32
	Acknowledged uint32
	// Failed is true when the packet begins an answer that reports a failed
	// request.
	Failed bool
	// Shed is true when the packet begins an answer by which the upstream refuses a
	// request for lack of capacity.
	Shed bool
	// Data is the number of payload bytes of the packet.
	Data int
	// Bytes is the whole packet as it was received.
	Bytes []byte
}
