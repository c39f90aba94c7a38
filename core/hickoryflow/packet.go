package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Flags qualify a packet between balancers and agents.
type Flags uint8

// Flag bits. The values are part of the packet format.
const (
	// FlagTransition says that the flow's bucket has changed lately, so that
	// the first candidate of an older table may own the flow.
	FlagTransition Flags = 1 << iota
	// FlagOffered says that the sender offers a new flow to the receiver.
	FlagOffered
	// FlagWalk says that the packet is passed along the candidate list until it
	// reaches the owner.
	FlagWalk
	// FlagRedirected says that the sender has stored the receiver as the owner
	// of the flow.
	FlagRedirected
)

// Has reports whether all the given bits are set.
func (f Flags) Has(bits Flags) bool {
	return f&bits == bits
}

// Header is the information about a packet that balancers and agents send with
// it.
type Header struct {
	Service    hickoryid.ServiceNumber
	Flags      Flags
	Generation hickorymodel.Generation
	// Position is the index in Candidates of the agent that the packet was sent
	// to.
	Position int
	// Hops is the number of agents that have passed the packet on.
	Hops int
	// OfferLoad is the number of open flows at the agent that offers the flow.
	OfferLoad int
	// Certainty is how long before the offer no agent owned the flow, as far as
	// the queried agents can confirm.
	Certainty  time.Duration
	Candidates hickorymodel.CandidateList
}

// Packet is one packet of a caller with its header.
type Packet struct {
	Header
	Key hickorymodel.FlowKey
	// First is the first-packet mark: TCP SYN without ACK.
	First bool
	// Closing is set on TCP FIN and RST.
	Closing bool
	// From is the balancer or agent that sent the packet.
	From hickorymodel.Endpoint
	// Payload is the inner IP packet. The caller of Handle may reuse its memory
	// after the call.
	Payload []byte
}

// clone copies the packet, which is then held while its flow is claimed.
func (p *Packet) clone() *Packet {
	kept := *p
	kept.Payload = append([]byte(nil), p.Payload...)
	return &kept
}

// mayBeNew reports whether the packet may be the first one of its flow.
func (p *Packet) mayBeNew() bool {
	return p.First || p.Key.Protocol == hickorymodel.ProtocolUDP
}
