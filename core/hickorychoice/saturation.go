package hickorychoice

import "time"

const (
	// fullWait is the wait of a full upstream in service times: upstreams that shed
	// requests do so after about that wait.
	fullWait = 3
	// saturatedShare is the share of asked agents with a full upstream from which on a
	// service is saturated; it no longer is below relievedShare.
	saturatedShare = 0.9
	relievedShare  = 0.7
	// saturationWeight is the weight of one answer in the share.
	saturationWeight = 1.0 / 16
	// askInterval is the number of flows to a saturated service of which one still asks.
	// Without it, nothing would show that there is room again.
	askInterval = 4
)

// Saturation tells whether asking the agents of a service for room is of use. It counts
// what agents answer, not what reports say: reports that are old make a service seem full
// whose load is only uneven, which asking evens out.
type Saturation struct {
	// share is the share of asked agents whose upstream was full.
	share     float64
	saturated bool
	// skipped counts the flows that have not asked since the last one that has.
	skipped int
}

// Saturated reports whether nearly all upstreams that were asked are full.
func (s *Saturation) Saturated() bool {
	return s.saturated
}

// Asks reports whether the next flow is to ask.
func (s *Saturation) Asks() bool {
	return !s.saturated || s.skipped >= askInterval-1
}

// Placed records that a flow begins to ask, or is sent without asking.
func (s *Saturation) Placed(asks bool) {
	if asks {
		s.skipped = 0
		return
	}
	s.skipped++
}

// Asked records that an agent is asked.
func (s *Saturation) Asked() {
	s.share -= saturationWeight * s.share
	s.update()
}

// Returned records that an agent which was asked has returned the packet, with the wait
// and the service time of its upstream.
func (s *Saturation) Returned(wait, serviceTime time.Duration) {
	if wait >= fullWait*serviceTime {
		s.share = min(1, s.share+saturationWeight)
	}
	s.update()
}

func (s *Saturation) update() {
	if s.saturated {
		s.saturated = s.share >= relievedShare
		return
	}
	s.saturated = s.share >= saturatedShare
}
