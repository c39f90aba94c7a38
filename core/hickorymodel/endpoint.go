package hickorymodel

import (
	"bytes"
	"net/netip"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
)

// Endpoint is the IPv4 data socket of a balancer or an agent.
type Endpoint struct {
	Address [4]byte
	Port    uint16
}

// ParseEndpoint parses an endpoint from a settings file, a document or a message,
// such as 10.0.0.1:6081. It returns an error unless it is an IPv4 address with a
// port.
func ParseEndpoint(text hickoryid.Endpoint) (Endpoint, error) {
	address, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return Endpoint{}, errors.Wrapf(err, "parse endpoint %q", text)
	}
	endpoint, ok := NewEndpoint(address)
	if !ok {
		return Endpoint{}, errors.Errorf("parse endpoint %q: not an IPv4 address", text)
	}
	return endpoint, nil
}

// NewEndpoint converts an address of package netip. It reports false when the
// address is not IPv4. Port 0 stands for any free port when a socket is opened.
func NewEndpoint(address netip.AddrPort) (Endpoint, bool) {
	ip := address.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}, false
	}
	return Endpoint{Address: ip.As4(), Port: address.Port()}, true
}

// AddrPort converts the endpoint for use with package net.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.Address), e.Port)
}

// Compare orders endpoints by address, then by port.
func (e Endpoint) Compare(other Endpoint) int {
	if order := bytes.Compare(e.Address[:], other.Address[:]); order != 0 {
		return order
	}
	return int(e.Port) - int(other.Port)
}

// IsZero reports whether the endpoint is unset.
func (e Endpoint) IsZero() bool {
	return e == Endpoint{}
}

// String formats the endpoint as in 10.0.0.1:6081.
func (e Endpoint) String() string {
	return e.AddrPort().String()
}

// ID converts the endpoint for use in messages.
func (e Endpoint) ID() hickoryid.Endpoint {
	return hickoryid.Endpoint(e.String())
}
