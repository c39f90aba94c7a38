package hickorydemo

import (
	"fmt"
	"time"

	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickorydemoreport"
)

// report makes the rows of the table.
func (r *run) report() hickorydemoreport.Report {
	seen := r.caller.Report()
	totals := r.totals()
	rows := r.flowRows(&seen, &totals)
	rows = append(rows, r.requestRows(&seen)...)
	rows = append(rows, r.changeRows(&totals)...)
	rows = append(rows, r.imbalanceRows()...)
	rows = append(rows, latencyRow("latency p50", seen.LatencyP50), latencyRow("latency p99", seen.LatencyP99))
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

// figure is a row that no guarantee limits.
func figure(name string, value float64, format string, arguments ...any) hickorydemoreport.Row {
	return hickorydemoreport.Row{Name: name, Value: value, Text: fmt.Sprintf(format, arguments...), Holds: true}
}

// guarantee is a row that holds up to a limit.
func guarantee(number, name string, value, limit float64, format string, arguments ...any) hickorydemoreport.Row {
	row := figure(name, value, format, arguments...)
	row.Guarantee = number
	row.Limit = &limit
	row.Holds = value <= limit
	return row
}

// none is a row for something that must not happen.
func none(number, name string, count int) hickorydemoreport.Row {
	return guarantee(number, name, float64(count), 0, "%d", count)
}

func (r *run) flowRows(seen *hickorystandin.CallerReport, totals *hickorystandin.UpstreamCounts) []hickorydemoreport.Row {
	givenUp := seen.Count(hickorystandin.FlowGivenUp) + r.seen.brokenDuring
	held := seen.CountLong(hickorystandin.FlowOpen)
	broken := seen.Broken() - r.seen.brokenDuring + seen.Unanswered
	return []hickorydemoreport.Row{
		figure("flows opened", float64(seen.Opened), "%d", seen.Opened),
		figure("long-lived flows held to the end", float64(held), "%d of %d", held, r.longFlows()),
		figure("flows given up with the zone", float64(givenUp), "%d", givenUp),
		guarantee("P1", "flows broken", float64(broken), 0, "%d (reset %d, silent %d, moved %d, foreign %d, unanswered %d)%s",
			broken, seen.Count(hickorystandin.FlowReset), seen.Count(hickorystandin.FlowSilent),
			seen.Count(hickorystandin.FlowMoved), seen.Count(hickorystandin.FlowForeign), seen.Unanswered, r.brokenHosts(seen)),
		figure("first packets refused", float64(seen.Count(hickorystandin.FlowRefused)), "%d flows never opened, %d first packets shed by upstreams",
			seen.Count(hickorystandin.FlowRefused), totals.Shed),
		none("P2", "packets that reached an upstream of the wrong service", totals.Foreign),
	}
}

// brokenHosts names the upstreams of the broken flows.
func (r *run) brokenHosts(seen *hickorystandin.CallerReport) string {
	text := ""
	for _, h := range r.hosts {
		count := seen.BrokenByUpstream[h.id]
		if count == 0 {
			continue
		}
		note := ""
		if h.leaving {
			note = ", leaving"
		}
		text += fmt.Sprintf("; %d on %s (%s%s)", count, h.id, h.zone, note)
	}
	return text
}

func (r *run) longFlows() int {
	total := r.extraFlows()
	for _, service := range r.options.Profile.Services {
		total += r.options.Flows * service.Hosts / r.options.Profile.hosts()
	}
	return total
}

func (r *run) requestRows(seen *hickorystandin.CallerReport) []hickorydemoreport.Row {
	repeats := r.repeats(seen.NotRun)
	return []hickorydemoreport.Row{
		figure("requests sent", float64(seen.Requests), "%d, %d segments sent again", seen.Requests, seen.Retries),
		none("P5", "answers that were foreign or not complete", seen.Foreign),
		guarantee("P6", "refused requests that were run", float64(repeats.refused), 0, "%d of %d refused", repeats.refused, len(seen.NotRun)),
		none("P7", "requests run twice", repeats.requests),
		none("P7", "first packets delivered to two upstreams", repeats.openings),
	}
}

func (r *run) changeRows(totals *hickorystandin.UpstreamCounts) []hickorydemoreport.Row {
	boundary := &r.seen.boundary
	late := boundary.LateDataPackets + boundary.LateControlMessages
	peak := totals.WorkPeak
	if totals.ConnectionPeak.Utilization() > peak.Utilization() {
		peak = totals.ConnectionPeak
	}
	configuration := r.seen.configuration.Seconds()
	limit := r.options.ConfigurationLimit.Seconds()
	if !r.seen.configured {
		// A change that is not in force at the limit has no time; it does not hold.
		configuration = max(configuration, limit+1)
	}
	returned := r.openingsInZone() - r.seen.openingsBefore
	return []hickorydemoreport.Row{
		guarantee("P4", "packets into the zone later than 3 s", float64(late), 0, "%d data, %d control (before: %d data, %d control; last data packet after %.2f s)",
			boundary.LateDataPackets, boundary.LateControlMessages, boundary.DataPackets, boundary.ControlMessages, boundary.LastDataPacket.Seconds()),
		figure("new flows in the zone after its return", float64(returned), "%d", returned),
		none("P8", "new flows at the leaving upstream later than 3 s", totals.LateOpenings),
		guarantee("P10", "time until a change is in force everywhere", configuration, limit, "%.2f s", configuration),
		guarantee("P3", "highest load of the cold upstream, of what it bears", peak.Utilization(), 1,
			"%.2f (work %.1f of %.0f, connections %.0f of %.0f, collapses %d)", peak.Utilization(), totals.WorkPeak.Load, totals.WorkPeak.Capacity,
			totals.ConnectionPeak.Load, totals.ConnectionPeak.Capacity, totals.Collapses),
	}
}

func (r *run) imbalanceRows() []hickorydemoreport.Row {
	end := r.imbalances()
	var rows []hickorydemoreport.Row
	for _, service := range r.options.Profile.Services {
		name := service.Name
		rows = append(rows, figure(fmt.Sprintf("imbalance of %s", name), end[name],
			"%.3f before the changes, %.3f before the zone left, %.3f at the end", r.seen.steady[name], r.seen.before[name], end[name]))
	}
	return rows
}

func latencyRow(name string, latency time.Duration) hickorydemoreport.Row {
	milliseconds := float64(latency) / float64(time.Millisecond)
	return figure(name, milliseconds, "%.1f ms", milliseconds)
}
