package hickoryadmission

const (
	// overloadShare is the number of forwards that each first packet adds to
	// the budget for flows that the agent's own upstream cannot take. More
	// would add load to a service that is already overloaded.
	overloadShare = 0.1
	// balanceShare is the number of forwards that each first packet adds to the
	// budget for flows sent to less loaded upstreams. With 60 flows on 3 hosts
	// for 30 minutes, 0.1 left a worst imbalance of 1.40.
	balanceShare = 0.5
	// forwardBurst is the largest number of forwards in a budget.
	forwardBurst = 50
)

// budget is a token bucket of forwards. First packets fill it instead of time,
// so package rate cannot be used.
type budget struct {
	// tokens is between 0 and forwardBurst.
	tokens float64
}

func (b *budget) refill(share float64) {
	b.tokens = min(b.tokens+share, forwardBurst)
}

func (b *budget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
