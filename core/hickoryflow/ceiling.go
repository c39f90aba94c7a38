package hickoryflow

// SetCeiling applies what the upstream's health and load endpoints report as the
// share of its full capacity. It only lowers what the agent admits.
func (t *Tracker) SetCeiling(share float64) {
	t.gate.SetCeiling(share)
}
