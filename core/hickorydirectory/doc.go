// Package hickorydirectory decides what a balancer believes of routes, upstreams
// and zones. The platform's store and other balancers tell it; each record
// carries a revision that only rises, so that the order of arrival does not matter.
package hickorydirectory
