// Package hickoryfabric runs the processes of the datagram fabric: a balancer, or
// the agent of one upstream. Each consists of duties, supervised goroutines that are
// joined by rings (bounded queues). They receive and send datagrams, make the
// decisions of hickorysteering, read the published state from the store into a
// directory, exchange that state with other balancers, and answer the fabric's
// readiness check.
//
// A packet is a datagram in the platform's format that belongs to a flow. A frame is
// a datagram between a balancer and an agent, which may carry a packet.
package hickoryfabric
