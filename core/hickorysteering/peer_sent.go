package hickorysteering

import (
	"math"
	"time"

	"hickoryworks/core/hickorymodel"
)

// sentLife is the time constant with which requests that were sent to an upstream leave
// what it has to do: some service times.
const sentLife = 50 * time.Millisecond

// sentRequests counts the first packets that were sent to an agent since it last said what
// its upstream has to do, less those whose requests have probably been answered.
type sentRequests struct {
	requests float64
	at       hickorymodel.Instant
}

// count returns the requests at a time; workAt is when the agent last named its work.
func (s *sentRequests) count(now, workAt hickorymodel.Instant) float64 {
	if s.at.Before(workAt) {
		return 0
	}
	if s.at == now {
		return s.requests
	}
	return s.requests * math.Exp(-float64(now.Sub(s.at))/float64(sentLife))
}

func (s *sentRequests) add(now, workAt hickorymodel.Instant) {
	s.requests = s.count(now, workAt) + 1
	s.at = now
}
