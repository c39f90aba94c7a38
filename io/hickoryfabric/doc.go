// Package hickoryfabric runs the duties of a balancer and of an agent on a
// datagram fabric: receive, decide, send, follow the store, keep the directory,
// ask other balancers, and answer the fabric's readiness check.
package hickoryfabric
