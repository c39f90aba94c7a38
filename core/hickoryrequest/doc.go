// Package hickoryrequest runs requests of datagram services at most once and
// matches complete responses to their requests. It has one state machine for the
// agent (Runner) and one for the caller (Caller).
package hickoryrequest
