package hickoryagent

import "hickoryworks/io/hickorymetric"

// ringDrops returns the exporter of the drop counters of all rings that can lose
// items. Rings that hold only the newest item are left out, since replacing the
// item is no loss.
func (a *Agent) ringDrops() *hickorymetric.RingDrops {
	rings := hickorymetric.NewRingDrops(a.scope)
	rings.Add("received", a.received.Drops)
	rings.Add("outgoing", a.outgoing.Drops)
	rings.Add("delivered", a.delivered.Drops)
	rings.Add("requests", a.requests.Drops)
	rings.Add("answered", a.answered.Drops)
	rings.Add("transfers", a.transfers.Drops)
	return rings
}
