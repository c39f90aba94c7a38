// Package hickorygeneve encodes and decodes the packets between fabric,
// balancers, agents and upstreams: Geneve (RFC 8926) over UDP. The inner packet is
// the IP packet that a Geneve packet encapsulates.
package hickorygeneve
