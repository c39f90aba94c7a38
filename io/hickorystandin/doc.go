// Package hickorystandin contains stand-ins (test doubles) for the parts around
// the load balancer, for tests, the demo and load measurements: fabric,
// configuration service, instance list, upstreams and callers. They exchange
// real packets over loopback sockets.
package hickorystandin
