package hickorydemo

import (
	"fmt"
	"time"

	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickorydemoreport"
)

// report returns the figures of the run and whether all guarantees hold.
func (r *run) report() hickorydemoreport.Report {
	callerReport := r.caller.Report()
	upstreamTotals := r.upstreamTotals()
	rows := r.flowRows(&callerReport, &upstreamTotals)
	rows = append(rows, r.requestRows(&callerReport)...)
	rows = append(rows, r.changeRows(&upstreamTotals)...)
	rows = append(rows, r.imbalanceRows()...)
	rows = append(rows, latencyRow("latency p50", callerReport.LatencyP50), latencyRow("latency p99", callerReport.LatencyP99))
	report := hickorydemoreport.Report{
		Profile: r.options.Profile.Name,
		Seed:    int(r.options.Seed),
		Seconds: time.Since(r.startedAt).Seconds(),
		Rows:    rows,
		Holds:   true,
	}
	for _, row := range rows {
		report.Holds = report.Holds && row.Holds
	}
	return report
}

// infoRow returns a row that no guarantee limits.
func infoRow(name string, value float64, format string, arguments ...any) hickorydemoreport.Row {
	return hickorydemoreport.Row{Name: name, Value: value, Text: fmt.Sprintf(format, arguments...), Holds: true}
}

// guaranteeRow returns the row of a guarantee that holds if the value does not
// exceed the limit.
func guaranteeRow(number, name string, value, limit float64, format string, arguments ...any) hickorydemoreport.Row {
	row := infoRow(name, value, format, arguments...)
	row.Guarantee = number
	row.Limit = &limit
	row.Holds = value <= limit
	return row
}

// zeroGuaranteeRow returns the row of a guarantee that holds if the count is 0.
func zeroGuaranteeRow(number, name string, count int) hickorydemoreport.Row {
	return guaranteeRow(number, name, float64(count), 0, "%d", count)
}

// flowRows returns the rows about flows. observed is the report of the callers. Flows
// that broke in the zone while it was out of service count as given up.
func (r *run) flowRows(observed *hickorystandin.CallerReport, totals *hickorystandin.UpstreamCounts) []hickorydemoreport.Row {
	givenUp := observed.Count(hickorystandin.FlowGivenUp) + r.observed.brokenDuring
	held := observed.CountLong(hickorystandin.FlowOpen)
	broken := observed.Broken() - r.observed.brokenDuring + observed.Unanswered
	return []hickorydemoreport.Row{
		infoRow("flows opened", float64(observed.Opened), "%d", observed.Opened),
		infoRow("long-lived flows held to the end", float64(held), "%d of %d", held, r.longFlowCount()),
		infoRow("flows given up with the zone", float64(givenUp), "%d", givenUp),
		guaranteeRow("P1", "flows broken", float64(broken), 0, "%d (reset %d, silent %d, moved %d, foreign %d, unanswered %d)%s",
			broken, observed.Count(hickorystandin.FlowReset), observed.Count(hickorystandin.FlowSilent),
			observed.Count(hickorystandin.FlowMoved), observed.Count(hickorystandin.FlowForeign), observed.Unanswered, r.brokenFlowsText(observed)),
		infoRow("first packets refused", float64(observed.Count(hickorystandin.FlowRefused)), "%d flows never opened, %d first packets shed by upstreams",
			observed.Count(hickorystandin.FlowRefused), totals.Shed),
		zeroGuaranteeRow("P2", "packets that reached an upstream of the wrong service", totals.Foreign),
	}
}

// brokenFlowsText lists the upstreams of the broken flows.
func (r *run) brokenFlowsText(callerReport *hickorystandin.CallerReport) string {
	text := ""
	for _, h := range r.hosts {
		count := callerReport.BrokenByUpstream[h.id]
		if count == 0 {
			continue
		}
		leavingNote := ""
		if h.leaving {
			leavingNote = ", leaving"
		}
		text += fmt.Sprintf("; %d on %s (%s%s)", count, h.id, h.zone, leavingNote)
	}
	return text
}

// longFlowCount returns the number of long-lived flows that the run opens.
func (r *run) longFlowCount() int {
	total := r.extraFlowCount()
	for _, service := range r.options.Profile.Services {
		total += r.options.Flows * service.Hosts / r.options.Profile.hosts()
	}
	return total
}

// requestRows returns the rows about requests and their replies.
func (r *run) requestRows(callerReport *hickorystandin.CallerReport) []hickorydemoreport.Row {
	duplicates := r.duplicates(callerReport.NotRun)
	return []hickorydemoreport.Row{
		infoRow("requests sent", float64(callerReport.Requests), "%d, %d segments sent again", callerReport.Requests, callerReport.Retries),
		zeroGuaranteeRow("P5", "answers that were foreign or not complete", callerReport.Foreign),
		guaranteeRow("P6", "refused requests that were run", float64(duplicates.refused), 0, "%d of %d refused", duplicates.refused, len(callerReport.NotRun)),
		zeroGuaranteeRow("P7", "requests run twice", duplicates.requests),
		zeroGuaranteeRow("P7", "first packets delivered to two upstreams", duplicates.openings),
	}
}

// changeRows returns the rows about the changes during the run: zone, drain,
// configuration and cold start.
func (r *run) changeRows(totals *hickorystandin.UpstreamCounts) []hickorydemoreport.Row {
	zoneCounts := &r.observed.zoneCounts
	late := zoneCounts.LateDataPackets + zoneCounts.LateControlMessages
	peak := totals.WorkPeak
	if totals.ConnectionPeak.Utilization() > peak.Utilization() {
		peak = totals.ConnectionPeak
	}
	configurationTime := r.observed.configurationTime.Seconds()
	limitSeconds := r.options.ConfigurationLimit.Seconds()
	if !r.observed.configurationInForce {
		// The change was not in force at the limit. A time above the limit makes the
		// guarantee fail.
		configurationTime = max(configurationTime, limitSeconds+1)
	}
	returned := r.openingsInZone() - r.observed.openingsBefore
	return []hickorydemoreport.Row{
		guaranteeRow("P4", "packets into the zone later than 3 s", float64(late), 0, "%d data, %d control (before: %d data, %d control; last data packet after %.2f s)",
			zoneCounts.LateDataPackets, zoneCounts.LateControlMessages, zoneCounts.DataPackets, zoneCounts.ControlMessages, zoneCounts.LastDataPacket.Seconds()),
		infoRow("new flows in the zone after its return", float64(returned), "%d", returned),
		zeroGuaranteeRow("P8", "new flows at the leaving upstream later than 3 s", totals.LateOpenings),
		guaranteeRow("P10", "time until a change is in force everywhere", configurationTime, limitSeconds, "%.2f s", configurationTime),
		guaranteeRow("P3", "highest load of the cold upstream, of what it bears", peak.Utilization(), 1,
			"%.2f (work %.1f of %.0f, connections %.0f of %.0f, collapses %d)", peak.Utilization(), totals.WorkPeak.Load, totals.WorkPeak.Capacity,
			totals.ConnectionPeak.Load, totals.ConnectionPeak.Capacity, totals.Collapses),
	}
}

func (r *run) imbalanceRows() []hickorydemoreport.Row {
	end := r.imbalances()
	var rows []hickorydemoreport.Row
	for _, service := range r.options.Profile.Services {
		name := service.Name
		rows = append(rows, infoRow(fmt.Sprintf("imbalance of %s", name), end[name],
			"%.3f before the changes, %.3f before the zone left, %.3f at the end", r.observed.imbalanceBeforeChanges[name], r.observed.imbalanceBeforeZoneOut[name], end[name]))
	}
	return rows
}

func latencyRow(name string, latency time.Duration) hickorydemoreport.Row {
	milliseconds := float64(latency) / float64(time.Millisecond)
	return infoRow(name, milliseconds, "%.1f ms", milliseconds)
}
