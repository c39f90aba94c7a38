package hickorymodel

import (
	"net/netip"

	"hickoryworks/schema/hickoryid"
)

// SocketAddress is an IP address and a port of a caller or a service. It contains no
// pointer, so that the garbage collector does not have to scan large flow tables.
type SocketAddress struct {
	// Address is an IPv6 address; IPv4 addresses are stored as IPv4-mapped ones.
	Address [16]byte
	Port    uint16
}

// NewSocketAddress converts an address of package netip.
func NewSocketAddress(address netip.AddrPort) SocketAddress {
	return SocketAddress{Address: address.Addr().As16(), Port: address.Port()}
}

// AddrPort converts the address for use with package net.
func (a SocketAddress) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom16(a.Address).Unmap(), a.Port)
}

// String formats the address as in 10.0.0.1:443.
func (a SocketAddress) String() string {
	return a.AddrPort().String()
}

// ID converts the address for use in messages.
func (a SocketAddress) ID() hickoryid.Endpoint {
	return hickoryid.Endpoint(a.String())
}
