package hickorychoice

import "time"

const (
	// priorSamples is the number of requests that the mean of the service weighs against
	// the service time of one upstream. Few requests say little about a speed: with a
	// heavy tail, a single one moves the mean of a few by a multiple.
	priorSamples = 16
	// maxSlowness and maxQuickness bound how far the service time of an upstream may be
	// from that of its service.
	maxSlowness  = 8
	maxQuickness = 4
	// minFreeShare is the lowest share of free slots that is assumed to be found by asking.
	minFreeShare = 0.1
	// defaultServiceTime is assumed until an upstream of the service has answered.
	defaultServiceTime = 20 * time.Millisecond
)

// Service sums up the upstreams of a service that a balancer hears of. The zero value
// knows nothing. Add all upstreams, call Finish, then Observe all upstreams and call
// Settle; choices may use the result for a while.
type Service struct {
	// serviceTime is the mean time of work of a request in seconds.
	serviceTime float64
	// load is the mean remaining work per slot, in service times.
	load float64
	// relativeIdle is the inverse of the mean number of idle flows per slot; 0 if there are
	// none.
	relativeIdle float64
	// idleShare is the share of open flows without an unanswered request. It is high if
	// flows live for longer than one request.
	idleShare float64
	// freeShare is the share of slots that are expected to be free.
	freeShare float64
	// known is the number of upstreams with figures.
	known int

	sums sums
}

// sums are what Service has added up so far.
type sums struct {
	known, samples, time, remaining float64
	upstreams, idle                 float64
	idleFlows, busyFlows            float64
	observed, free                  float64
}

// Add adds an upstream with its number of unanswered requests.
func (s *Service) Add(c *Candidate, busy int) {
	s.sums.upstreams++
	s.sums.idle += c.idlePerSlot()
	s.sums.idleFlows += float64(c.Idle)
	s.sums.busyFlows += float64(busy)
	if !c.Known {
		return
	}
	s.sums.known++
	s.sums.remaining += inSeconds(c.Figures.Remaining) / c.slots()
	if c.Figures.ServiceTime > 0 {
		// Each upstream counts at most priorSamples requests, so that the quick ones,
		// which answer more of them, do not outweigh the others.
		weight := float64(min(c.Figures.Samples, priorSamples))
		s.sums.samples += weight
		s.sums.time += weight * inSeconds(c.Figures.ServiceTime)
	}
}

// Finish computes the means of the upstreams that were added.
func (s *Service) Finish() {
	s.serviceTime = inSeconds(defaultServiceTime)
	if s.sums.samples > 0 {
		s.serviceTime = s.sums.time / s.sums.samples
	}
	s.known = int(s.sums.known)
	s.load = s.sums.remaining / max(s.sums.known, 1) / s.serviceTime
	s.relativeIdle = 0
	if s.sums.idle > 0 {
		s.relativeIdle = s.sums.upstreams / s.sums.idle
	}
	s.idleShare = s.sums.idleFlows / max(s.sums.idleFlows+s.sums.busyFlows, 1)
}

// Observe counts the free slots of an upstream.
func (s *Service) Observe(c *Candidate) {
	serviceTime := s.ServiceTime(c)
	perSlot := 1 / c.slots()
	s.sums.observed++
	s.sums.free += max(0, 1-loadNow(c, serviceTime, perSlot, s.steadyLoad(c, perSlot)))
}

// Settle computes the share of free slots and ends the sums.
func (s *Service) Settle() {
	s.freeShare = s.sums.free / max(s.sums.observed, 1)
	s.sums = sums{}
}

// askCost returns the seconds that it is expected to take until an agent with a free slot
// is found, if asking one takes roundTrip.
func (s *Service) askCost(roundTrip time.Duration) float64 {
	return inSeconds(roundTrip) / max(s.freeShare, minFreeShare)
}

// Informed reports whether any upstream has figures.
func (s *Service) Informed() bool {
	return s.known > 0
}

// ServiceTime returns the time of work of a request at an upstream, in seconds. With few
// samples it is near the mean of the service.
func (s *Service) ServiceTime(c *Candidate) float64 {
	if !c.Known || c.Figures.ServiceTime <= 0 {
		return s.serviceTime
	}
	samples := float64(c.Figures.Samples)
	mean := (samples*inSeconds(c.Figures.ServiceTime) + priorSamples*s.serviceTime) / (samples + priorSamples)
	return min(max(mean, s.serviceTime/maxQuickness), s.serviceTime*maxSlowness)
}

// Completion returns the time until a request that is sent to an upstream now is expected
// to be answered.
func (s *Service) Completion(c *Candidate) time.Duration {
	return fromSeconds(s.expect(c).completion)
}

// Speed returns how fast an upstream is in comparison with its service: 2 if it takes
// half of the time.
func (s *Service) Speed(c *Candidate) float64 {
	return s.serviceTime / s.ServiceTime(c)
}
