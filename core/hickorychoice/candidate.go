package hickorychoice

import "time"

// Figures are what the agent of an upstream last said about its work.
type Figures struct {
	// Remaining is the expected time of work of the requests that the upstream has,
	// summed over them; Wait is the expected time until a request that arrives now gets
	// a slot.
	Remaining time.Duration
	Wait      time.Duration
	// ServiceTime is the mean time of work of a request, the mean of Samples requests; 0
	// while it is unknown.
	ServiceTime time.Duration
	Samples     int
	// Age is the time since the agent said so.
	Age time.Duration
}

// Candidate is an upstream that may get the flow.
type Candidate struct {
	// Figures are valid if Known is true.
	Figures Figures
	Known   bool
	// Slots is the number of requests that the upstream processes at the same time, at
	// least 1.
	Slots int
	// Sent is the number of requests that the balancer has sent since Figures, less those
	// that the upstream has probably answered.
	Sent float64
	// Idle is the number of open flows without an unanswered request.
	Idle int
	// RoundTrip is the time of a round trip to the upstream.
	RoundTrip time.Duration
	// Local is true for an upstream in the zone of the balancer.
	Local bool
	// Cold is true in a cold start.
	Cold bool
	// Rank orders the candidates for the flow, highest first.
	Rank uint64
}

// slots returns Slots as a divisor.
func (c *Candidate) slots() float64 {
	return float64(max(c.Slots, 1))
}

// idlePerSlot returns the open flows without an unanswered request, per slot.
func (c *Candidate) idlePerSlot() float64 {
	return float64(c.Idle) / c.slots()
}
