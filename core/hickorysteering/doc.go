// Package hickorysteering decides where balancers and agents send the packets of a
// datagram fabric. The upstream alone decides which flows it holds: it returns
// packets of flows that it does not hold. Balancers and agents therefore keep
// nothing but caches, which may be lost at any time.
package hickorysteering
