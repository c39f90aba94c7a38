// Package hickoryflow decides at an agent what happens to each packet of the
// encapsulated fabric. It is a state machine without I/O: packets, messages and
// the time go in, actions come out.
//
// The owner of a flow is the agent whose upstream holds the flow. A balancer
// sends a packet to the first candidate of the flow's bucket, the flow's home.
// The home accepts a new flow for its own upstream or offers it to another
// candidate, and stores the owner in a redirect entry. When another agent may
// own the flow already, the home first makes a claim: it queries the other
// candidates and handles the flow as new only when none of them owns it. A
// packet that cannot be the first one of its flow and whose owner is unknown is
// walked: it is passed along the candidate list until it reaches the owner.
package hickoryflow
