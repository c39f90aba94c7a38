package hickorychoice

import "time"

const (
	// knowledgeTime is the age at which figures and the mean of the service have the same
	// weight: the time in which upstreams of a few slots answer what they had.
	knowledgeTime = 200 * time.Millisecond
	// returnLife is how long the wait that an agent named is used as it is, instead of one
	// that is computed from the load: the time to ask some others.
	returnLife = 20 * time.Millisecond
	// steadyWeight is the weight of the expected completion of later requests of a flow
	// against that of its first, if all flows stay open.
	steadyWeight = 0.5
	// coldFactor is how many times as long a request takes in a cold start.
	coldFactor = 1.5
)

// expectation is what a candidate is expected to do, in seconds.
type expectation struct {
	// completion is the time until the first request of the flow is answered.
	completion float64
	// score is completion, adjusted for the later requests of flows that stay open.
	score float64
	// fixed is completion without wait; serviceTime is the work in it.
	fixed       float64
	serviceTime float64
}

// expect computes the expectation of a candidate.
func (s *Service) expect(c *Candidate) expectation {
	serviceTime := s.ServiceTime(c)
	perSlot := 1 / c.slots()
	steady := s.steadyLoad(c, perSlot)
	e := expectation{serviceTime: serviceTime, fixed: serviceTime + inSeconds(c.RoundTrip)}
	if c.Cold {
		e.fixed += (coldFactor - 1) * serviceTime
	}
	if c.Known && c.Figures.Age < returnLife {
		e.completion = e.fixed + inSeconds(c.Figures.Wait) + c.Sent*serviceTime*perSlot
	} else {
		e.completion = e.fixed + serviceTime*wait(loadNow(c, serviceTime, perSlot, steady))
	}
	later := e.fixed + serviceTime*wait(steady)
	e.score = e.completion + steadyWeight*s.idleShare*(later-e.completion)
	return e
}

// steadyLoad returns the load that an upstream has on average: that of its service, as far
// as open flows bring it by their number at the upstream. Loads are remaining work per
// slot, in service times of the upstream, so that a slow one has more work at equal load.
func (s *Service) steadyLoad(c *Candidate, perSlot float64) float64 {
	flows := float64(c.Idle) * perSlot * s.relativeIdle
	return s.load * (1 - s.idleShare + s.idleShare*flows)
}

// loadNow returns the load of an upstream: what the agent said, which loses weight with its
// age against the steady load, and what was sent since.
func loadNow(c *Candidate, serviceTime, perSlot, steady float64) float64 {
	load := steady
	if c.Known {
		weight := agedWeight(c.Figures.Age)
		load += weight * (inSeconds(c.Figures.Remaining)*perSlot/serviceTime - steady)
	}
	return load + c.Sent*perSlot
}

// agedWeight returns the weight of what an agent said some time ago, from 1 to 0.
func agedWeight(age time.Duration) float64 {
	return float64(knowledgeTime) / float64(knowledgeTime+max(age, 0))
}

// perNanosecond is a nanosecond in seconds.
const perNanosecond = 1e-9

func inSeconds(d time.Duration) float64 {
	return float64(d) * perNanosecond
}

func fromSeconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}

// wait returns the expected wait for a slot at a load, in service times. At a low load a
// slot is probably free; at a high one, the wait is the load less what the slots are
// working on.
func wait(load float64) float64 {
	return load * load / (load + 1)
}
