// Package hickoryflow decides at an agent what happens to each packet of the
// encapsulated fabric. It is a state machine without I/O: packets, messages and
// the time go in, actions come out.
//
// The owner of a flow is the agent whose upstream holds the flow. The
// balancer's table maps a flow to a bucket with a list of candidate agents. The
// balancer sends the flow's packets to the first candidate, the home of the
// flow. The home accepts a new flow for its own upstream or offers it to
// another candidate, and stores that candidate as the owner in a redirect
// entry. Later, an owner that is not in the candidate list of its flow
// registers the flow: it sends a redirect entry to the home.
//
// When another agent may own a flow already, the home first makes a claim: it
// queries the other candidates and handles the flow as new only when none of
// them owns it. A packet that cannot be the first one of its flow and whose
// owner is unknown is walked: it is passed along the candidate list until it
// reaches the owner.
package hickoryflow
