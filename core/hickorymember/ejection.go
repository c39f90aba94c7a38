package hickorymember

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// quorum is the number of observers that must suspect an upstream.
	quorum = 2
	// ejectPercent is the share of a service's upstreams that may be ejected; one
	// may always be. Above it, suspicions more likely come from a fault of the
	// observers, and the others could not take the load.
	ejectPercent = 20
	// maxEmptyZones is the number of zones of a service that ejections may empty.
	maxEmptyZones = 1
)

// evaluate derives the ejected upstreams from the views held.
func (d *Detector) evaluate() {
	var ejected, limited []hickoryid.UpstreamID
	suspected := d.suspectedByQuorum()
	if len(suspected) > 0 {
		for i := range d.services {
			out, kept := d.ejectFrom(&d.services[i], suspected)
			ejected = append(ejected, out...)
			limited = append(limited, kept...)
		}
	}
	slices.Sort(ejected)
	slices.Sort(limited)
	d.reportAdded(EventEjected, d.ejected, ejected)
	d.reportAdded(EventReadmitted, ejected, d.ejected)
	d.reportAdded(EventEjectionLimited, d.limited, limited)
	d.limited = limited
	if !slices.Equal(ejected, d.ejected) {
		d.ejected = ejected
		d.act(Action{Verb: VerbEject, Ejected: slices.Clone(ejected)})
	}
}

func (d *Detector) reportAdded(kind EventKind, before, after []hickoryid.UpstreamID) {
	for _, id := range after {
		if _, found := slices.BinarySearch(before, id); !found {
			d.report(kind, id)
		}
	}
}

// suspectedByQuorum returns the upstreams that enough listed balancers suspect.
// Observers are not checked against the own choice of observers, because lists
// of instances lag and differ.
func (d *Detector) suspectedByQuorum() map[hickoryid.UpstreamID]struct{} {
	counts := map[hickoryid.UpstreamID]int{}
	for observer, held := range d.views {
		if _, listed := d.roster.listed[observer]; !listed {
			continue
		}
		for _, id := range held.view.Suspects {
			counts[id]++
		}
	}
	needed := min(quorum, len(d.roster.listed))
	suspected := map[hickoryid.UpstreamID]struct{}{}
	for id, count := range counts {
		if count >= needed {
			suspected[id] = struct{}{}
		}
	}
	return suspected
}

// ejectFrom applies the limits to one service. Upstreams that are ejected
// already come first, so that a further suspicion does not exchange them.
func (d *Detector) ejectFrom(service *hickorymodel.Service, suspected map[hickoryid.UpstreamID]struct{}) (ejected, limited []hickoryid.UpstreamID) {
	zones := map[hickoryid.ZoneName]int{}
	var candidates []*hickorymodel.Upstream
	total := 0
	for i := range service.Upstreams {
		upstream := &service.Upstreams[i]
		if upstream.State == hickorymodel.UpstreamExcluded {
			continue
		}
		total++
		zones[upstream.Zone]++
		if _, ok := suspected[upstream.ID]; ok {
			candidates = append(candidates, upstream)
		}
	}
	slices.SortStableFunc(candidates, func(a, b *hickorymodel.Upstream) int {
		return d.ejectionRank(a) - d.ejectionRank(b)
	})
	limit := max(total*ejectPercent/100, 1)
	emptyZones := 0
	for _, upstream := range candidates {
		empties := zones[upstream.Zone] == 1
		if len(ejected) >= limit || (empties && emptyZones >= maxEmptyZones) {
			limited = append(limited, upstream.ID)
			continue
		}
		zones[upstream.Zone]--
		if empties {
			emptyZones++
		}
		ejected = append(ejected, upstream.ID)
	}
	return ejected, limited
}

func (d *Detector) ejectionRank(upstream *hickorymodel.Upstream) int {
	if _, found := slices.BinarySearch(d.ejected, upstream.ID); found {
		return 0
	}
	return 1
}
