// Package hickorychoice decides which upstream gets a new flow, by the time in which each
// is expected to complete the first request of the flow, and by the work that a flow
// which stays open will find there. It keeps no state of upstreams, reads no clock and
// sends nothing: the caller passes what it knows of the candidates.
package hickorychoice
