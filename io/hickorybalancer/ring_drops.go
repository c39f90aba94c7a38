package hickorybalancer

import "hickoryworks/io/hickorymetric"

// ringDrops returns the export of the drop counts of all rings that can lose items.
// Rings that keep only the newest item are left out, since a replaced item is not
// needed any more.
func (b *Balancer) ringDrops() *hickorymetric.RingDrops {
	rings := hickorymetric.NewRingDrops(b.scope)
	rings.Add("received", b.received.Drops)
	rings.Add("outgoing", b.outgoing.Drops)
	rings.Add("probeReplies", b.detectorRings.replies.Drops)
	rings.Add("views", b.detectorRings.views.Drops)
	rings.Add("probes", b.detectorRings.probes.Drops)
	rings.Add("tells", b.detectorRings.viewsToSend.Drops)
	return rings
}
