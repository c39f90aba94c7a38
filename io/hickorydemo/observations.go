package hickorydemo

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

// observations are what the steps of a run have seen.
type observations struct {
	// steady and before are the imbalances before the first change and before
	// the zone was taken out.
	imbalanceBeforeChanges map[hickoryid.ServiceName]float64
	imbalanceBeforeZoneOut map[hickoryid.ServiceName]float64

	zone       hickoryid.ZoneName
	zoneCounts hickorystandin.ZoneCounts
	// brokenBefore counts the flows that broke in the zone before it was taken
	// out; brokenDuring those that broke there while it was out.
	brokenBefore int
	brokenDuring int
	// openingsBefore counts the first packets in the zone before it came back.
	openingsBefore int

	configurationTime    time.Duration
	configurationInForce bool
}

// giveUpZone has callers give up the flows of the zone that is out of service.
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

// imbalances returns, for each service, the maximum over the mean of the open
// flows of the warm upstreams in service.
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

// repeats counts what upstreams did more than once.
type duplicates struct {
	// requests is the number of requests that were run more than once.
	requests int
	// refused is the number of requests that were run although refused.
	refused int
	// openings is the number of flows that more than one upstream took in.
	openings int
}

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

// totals sums up what all upstreams have seen.
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
