// Package hickoryframe holds the binary layouts of the datagrams between
// balancers and agents of a datagram fabric, generated from schema/frame.json.
package hickoryframe
