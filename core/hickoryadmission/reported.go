package hickoryadmission

import "hickoryworks/schema/hickorypayload"

// HealthShare returns the share of its capacity that an upstream in this state
// can take. In any state but serving it is 0, which allows only the cold limit.
func HealthShare(health hickorypayload.Health) float64 {
	if health.State == hickorypayload.HealthStateServing {
		return 1
	}
	return 0
}

// LoadShare returns the share of its capacity at which the reported queue would
// be empty.
func LoadShare(load hickorypayload.Load) float64 {
	if load.Queued <= 0 {
		return 1
	}
	busy := max(float64(load.Busy), 0)
	return busy / (busy + float64(load.Queued))
}
