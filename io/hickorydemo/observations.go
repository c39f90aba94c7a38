package hickorydemo

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

// observations holds what the steps of a run have measured.
type observations struct {
	// The imbalances were measured before the first change and before the zone was
	// taken out of service.
	imbalanceBeforeChanges map[hickoryid.ServiceName]float64
	imbalanceBeforeZoneOut map[hickoryid.ServiceName]float64

	// zone is the zone that is taken out of service; zoneCounts holds the datagrams
	// that arrived there while it was out.
	zone       hickoryid.ZoneName
	zoneCounts hickorystandin.ZoneCounts
	// brokenBefore counts the flows that broke in the zone before it was taken out
	// of service; brokenDuring counts those that broke there while it was out.
	brokenBefore int
	brokenDuring int
	// openingsBefore counts the first packets in the zone before it was brought
	// back.
	openingsBefore int

	// configurationTime is the time until a configuration change was in force at
	// all balancers and agents, or the time waited for it if it was not.
	configurationTime    time.Duration
	configurationInForce bool
}

// giveUpZoneFlows makes the callers give up the flows of the zone that is out of
// service.
func (r *run) giveUpZoneFlows() {
	upstreams := map[hickoryid.UpstreamID]struct{}{}
	for _, h := range r.hosts {
		if h.zone == r.observed.zone {
			upstreams[h.id] = struct{}{}
		}
	}
	r.caller.GiveUpFlows(upstreams)
}

func (r *run) brokenInZone() int {
	broken := r.caller.Report().BrokenByUpstream
	total := 0
	for _, h := range r.hosts {
		if h.zone == r.observed.zone {
			total += broken[h.id]
		}
	}
	return total
}

func (r *run) openingsInZone() int {
	total := 0
	for _, h := range r.hosts {
		if h.zone == r.observed.zone {
			total += h.upstream.Counts().Openings
		}
	}
	return total
}

// imbalances returns the imbalance of each service: the highest number of open
// flows of an upstream divided by the mean. Upstreams that are leaving, started
// cold or are in an excluded zone are left out.
func (r *run) imbalances() map[hickoryid.ServiceName]float64 {
	openFlows := r.caller.Report().OpenByUpstream
	result := map[hickoryid.ServiceName]float64{}
	for i := range r.options.Profile.Services {
		name := r.options.Profile.Services[i].Name
		maxFlows, sum, count := 0, 0, 0
		for _, h := range r.hosts {
			if h.service.Name != name || h.leaving || h.cold || h.zone == r.excluded {
				continue
			}
			maxFlows = max(maxFlows, openFlows[h.id])
			sum += openFlows[h.id]
			count++
		}
		if sum > 0 {
			result[name] = float64(maxFlows*count) / float64(sum)
		}
	}
	return result
}

// duplicates counts requests and flows that upstreams processed more often than
// allowed.
type duplicates struct {
	// requests is the number of requests that were run more than once.
	requests int
	// refused is the number of requests that were refused and run all the same.
	refused int
	// openings is the number of flows that more than one upstream accepted.
	openings int
}

// duplicates sums up the runs of all upstreams. refused lists the requests that
// callers got a refusal for.
func (r *run) duplicates(refused []hickorypayload.RequestNumber) duplicates {
	runs := map[hickorypayload.RequestNumber]int{}
	accepted := map[hickorymodel.FlowKey]int{}
	for _, h := range r.hosts {
		for id, count := range h.upstream.Runs() {
			runs[id] += count
		}
		for key := range h.upstream.Accepted() {
			accepted[key]++
		}
	}
	var result duplicates
	for _, count := range runs {
		if count > 1 {
			result.requests++
		}
	}
	for _, count := range accepted {
		if count > 1 {
			result.openings++
		}
	}
	for _, id := range refused {
		if runs[id] > 0 {
			result.refused++
		}
	}
	return result
}

// upstreamTotals returns the sums of the counts of all upstreams, and the peaks
// with the highest utilization.
func (r *run) upstreamTotals() hickorystandin.UpstreamCounts {
	var total hickorystandin.UpstreamCounts
	for _, h := range r.hosts {
		counts := h.upstream.Counts()
		total.Foreign += counts.Foreign
		total.Openings += counts.Openings
		total.LateOpenings += counts.LateOpenings
		total.Shed += counts.Shed
		total.Collapses += counts.Collapses
		if counts.WorkPeak.Utilization() > total.WorkPeak.Utilization() {
			total.WorkPeak = counts.WorkPeak
		}
		if counts.ConnectionPeak.Utilization() > total.ConnectionPeak.Utilization() {
			total.ConnectionPeak = counts.ConnectionPeak
		}
	}
	return total
}
