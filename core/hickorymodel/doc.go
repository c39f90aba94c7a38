// Package hickorymodel defines the types that the packages of core share: flow keys,
// endpoints, services, upstreams, candidate lists and times.
package hickorymodel
