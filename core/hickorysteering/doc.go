// Package hickorysteering decides where the packets of a datagram fabric go. The
// upstream is the authority on its flows: it returns what it does not hold, so
// balancers and agents keep only caches, which may be lost at any time.
package hickorysteering
