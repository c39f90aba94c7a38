package hickorysteering

import (
	"net/netip"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// frameAddress converts an IPv4 address for frames.
func frameAddress(address hickorymodel.SocketAddress) hickoryframe.Address {
	return hickoryframe.Address{IP: address.AddrPort().Addr().As4(), Port: address.Port}
}

// socketAddress converts an address of a frame.
func socketAddress(address hickoryframe.Address) hickorymodel.SocketAddress {
	return hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.AddrFrom4(address.IP), address.Port))
}

// NoticeOf encodes the key of a flow for a frame.
func NoticeOf(flow hickorymodel.FlowKey) hickoryframe.Notice {
	return hickoryframe.Notice{Source: frameAddress(flow.Source), Destination: frameAddress(flow.Destination)}
}

// FlowOf decodes the key of a flow from a frame.
func FlowOf(notice hickoryframe.Notice) hickorymodel.FlowKey {
	return hickorymodel.FlowKey{
		Source:      socketAddress(notice.Source),
		Destination: socketAddress(notice.Destination),
		Protocol:    hickorymodel.ProtocolTCP,
	}
}

// reverse returns the key of the other direction.
func reverse(flow hickorymodel.FlowKey) hickorymodel.FlowKey {
	flow.Source, flow.Destination = flow.Destination, flow.Source
	return flow
}
