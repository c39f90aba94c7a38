package hickorymodel

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Protocol is an IP protocol number.
type Protocol uint8

// Protocols of the flows that are balanced.
const (
	ProtocolTCP Protocol = 6
	ProtocolUDP Protocol = 17
)

// FlowKey identifies one flow. Source is the address of the caller, Destination the
// address of the service.
type FlowKey struct {
	Source      SocketAddress
	Destination SocketAddress
	Protocol    Protocol
}

// flowKeyBytes is the size of the input of Hash: the addresses and ports of the
// source and the destination, and the protocol.
const flowKeyBytes = 16 + 2 + 16 + 2 + 1

// Hash returns a hash of the key that is the same in every process.
func (k FlowKey) Hash() uint64 {
	var data [flowKeyBytes]byte
	copy(data[0:], k.Source.Address[:])
	binary.BigEndian.PutUint16(data[16:], k.Source.Port)
	copy(data[18:], k.Destination.Address[:])
	binary.BigEndian.PutUint16(data[34:], k.Destination.Port)
	data[36] = byte(k.Protocol)
	return xxhash.Sum64(data[:])
}

// Message converts the key for use in messages.
func (k FlowKey) Message() hickorymessage.Flow {
	return hickorymessage.Flow{
		Protocol:    int(k.Protocol),
		Source:      k.Source.ID(),
		Destination: k.Destination.ID(),
	}
}

// ParseFlowKey parses the flow key of a message. It returns an error when the source
// or the destination is not an IP address with a port.
func ParseFlowKey(flow hickorymessage.Flow) (FlowKey, error) {
	source, err := parseSocketAddress(flow.Source)
	if err != nil {
		return FlowKey{}, errors.Wrap(err, "parse flow source")
	}
	destination, err := parseSocketAddress(flow.Destination)
	if err != nil {
		return FlowKey{}, errors.Wrap(err, "parse flow destination")
	}
	return FlowKey{Source: source, Destination: destination, Protocol: Protocol(flow.Protocol)}, nil
}

func parseSocketAddress(text hickoryid.Endpoint) (SocketAddress, error) {
	address, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return SocketAddress{}, err
	}
	return NewSocketAddress(address), nil
}
