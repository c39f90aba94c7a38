// Package hickorysteering decides where balancers and agents send the packets of a
// datagram fabric. The upstream alone decides which flows it holds: it returns
// packets of flows that it does not hold. Balancers and agents therefore keep
// nothing but caches, which may be lost at any time.
//
// A first packet opens a flow; its copies are the caller's retransmissions of it. A
// slot is the capacity of an upstream to process one request; further requests wait.
// A cold start is the time after an upstream has started, or its zone has returned
// to service, in which it can take fewer new flows than later. The ramp rate limits
// them and the ramp time is its length.
package hickorysteering
