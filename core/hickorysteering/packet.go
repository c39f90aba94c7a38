package hickorysteering

import "hickoryworks/core/hickorymodel"

// Packet is what the decisions need of one packet of a flow.
type Packet struct {
	// Flow has the sender of the packet as its source.
	Flow hickorymodel.FlowKey
	// First is true for the packet that opens a flow, and for its copies.
	First bool
	// Answer is true for an upstream's answer to a first packet.
	Answer bool
	// Reset is true for a packet that breaks the flow off.
	Reset bool
	// Finish is true for the last packet of its sender.
	Finish bool
	// Returned is true when the upstream does not hold the flow or has no room.
	Returned bool
	// Mark is what the agent wrote into the packet when it delivered it.
	Mark uint32
	// Copy counts the copies of a first packet, from 0.
	Copy uint32
	// Sequence and Acknowledged are the packet's positions in the byte streams.
	Sequence     uint32
	Acknowledged uint32
	// Failed is true when the packet begins an answer that tells of a failure.
	Failed bool
	// Shed is true when the packet begins an answer of an upstream without room.
	Shed bool
	// Data is the number of bytes that the packet carries.
	Data int
	// Bytes is the whole packet as it was received.
	Bytes []byte
}
