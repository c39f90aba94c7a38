package hickorymodel

import (
	"time"

	"hickoryworks/schema/hickoryid"
)

// Generation is the version of the section that a service was resolved from. The
// generations of one service only increase.
type Generation uint64

// ServiceAddress is one address to which callers send the packets of a service.
type ServiceAddress struct {
	Socket   SocketAddress
	Protocol Protocol
}

// UpstreamState is the state of an upstream at one instance; other instances may
// have another one.
type UpstreamState uint8

// States of upstreams.
const (
	// UpstreamAccepting takes new flows.
	UpstreamAccepting UpstreamState = iota
	// UpstreamLeaving keeps its flows and takes no new ones.
	UpstreamLeaving
	// UpstreamSuspected may be dead.
	UpstreamSuspected
	// UpstreamExcluded receives no packets: its zone is out of service.
	UpstreamExcluded
)

// Upstream is one back end and the agent on its host, whose endpoint is Endpoint.
type Upstream struct {
	ID       hickoryid.UpstreamID
	Zone     hickoryid.ZoneName
	Endpoint Endpoint
	State    UpstreamState
}

// Service is one service, resolved from the accepted sections of the document.
type Service struct {
	Name       hickoryid.ServiceName
	Team       hickoryid.TeamName
	Number     hickoryid.ServiceNumber
	Generation Generation
	// Addresses belong to this service alone. When several services name the same
	// address, the conflict is resolved before a Service is built.
	Addresses []ServiceAddress
	// Upstreams are sorted by ID.
	Upstreams []Upstream
	// ExcludedZones are the zones that are out of service for the team.
	ExcludedZones  []hickoryid.ZoneName
	Slots          hickoryid.Slots
	Connections    hickoryid.Connections
	RampTime       time.Duration
	OpeningTimeout time.Duration
}
