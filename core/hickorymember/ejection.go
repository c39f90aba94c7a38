package hickorymember

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// quorum is the number of observers that must suspect an upstream before it is
	// ejected.
	quorum = 2
	// ejectPercent is the largest share of a service's upstreams that may be
	// ejected; one upstream always may. A larger share of suspects more likely
	// comes from a fault of the observers, and the remaining upstreams could not
	// carry the load.
	ejectPercent = 20
	// maxEmptyZones is the number of zones of a service in which ejections may
	// leave no upstream.
	maxEmptyZones = 1
)

// updateEjected derives the ejected upstreams from the stored views.
func (d *Detector) updateEjected() {
	var ejected, limited []hickoryid.UpstreamID
	suspected := d.suspectedByQuorum()
	if len(suspected) > 0 {
		for i := range d.services {
			serviceEjected, serviceLimited := d.applyEjectionLimits(&d.services[i], suspected)
			ejected = append(ejected, serviceEjected...)
			limited = append(limited, serviceLimited...)
		}
	}
	slices.Sort(ejected)
	slices.Sort(limited)
	d.logAdded(EventEjected, d.ejected, ejected)
	d.logAdded(EventReadmitted, ejected, d.ejected)
	d.logAdded(EventEjectionLimited, d.limited, limited)
	d.limited = limited
	if !slices.Equal(ejected, d.ejected) {
		d.ejected = ejected
		d.addAction(Action{Verb: VerbEject, Ejected: slices.Clone(ejected)})
	}
}

func (d *Detector) logAdded(kind EventKind, before, after []hickoryid.UpstreamID) {
	for _, id := range after {
		if _, found := slices.BinarySearch(before, id); !found {
			d.logEvent(kind, id)
		}
	}
}

// suspectedByQuorum returns the upstreams that enough listed balancers suspect.
// It does not check whether this balancer would have chosen the same observers,
// because lists of instances lag and differ.
func (d *Detector) suspectedByQuorum() map[hickoryid.UpstreamID]struct{} {
	counts := map[hickoryid.UpstreamID]int{}
	for observer, stored := range d.views {
		if _, listed := d.roster.listed[observer]; !listed {
			continue
		}
		for _, id := range stored.view.Suspects {
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

// applyEjectionLimits divides the suspected upstreams of a service into those to
// eject and those that a limit keeps from being ejected. Upstreams that are already
// ejected come first, so that a further suspicion does not swap them for another.
func (d *Detector) applyEjectionLimits(service *hickorymodel.Service, suspected map[hickoryid.UpstreamID]struct{}) (ejected, limited []hickoryid.UpstreamID) {
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
		emptiesZone := zones[upstream.Zone] == 1
		if len(ejected) >= limit || (emptiesZone && emptyZones >= maxEmptyZones) {
			limited = append(limited, upstream.ID)
			continue
		}
		zones[upstream.Zone]--
		if emptiesZone {
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
