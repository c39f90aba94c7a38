// Package hickorysteering decides where balancers and agents send the packets of a
// datagram fabric. Only the upstream's TCP stack decides whether a flow exists: it
// returns packets of flows that it does not hold. Balancers and agents therefore
// keep nothing but caches, which may be lost at any time.
package hickorysteering
