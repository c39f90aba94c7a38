// Package hickorydirectory keeps a balancer's copy of the published routes,
// upstreams and zones. Records arrive from the platform's store and from other
// balancers. Each carries a revision that only rises, so that the order of arrival
// does not matter.
package hickorydirectory
