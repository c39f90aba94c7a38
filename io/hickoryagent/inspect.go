package hickoryagent

import (
	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorystatus"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// tagMetrics creates the histogram with the labels of a service. It compares the
// service with the one in force, so it must be called before that is replaced.
func (d *decider) tagMetrics(service hickorymodel.Service) {
	if d.table == nil || d.service.Team != service.Team {
		d.openingTime = hickorymetric.ServiceScope(d.scope, service.Team, service.Name).
			Histogram("opening_time", hickorymetric.OpeningTimeBuckets)
	}
}

// inspect answers a request of hickoryctl.
func (d *decider) inspect(inspection hickoryring.Inspection) {
	switch {
	case inspection.Status != nil:
		inspection.Status <- d.statusReply()
	case inspection.Report != nil:
		inspection.Report <- d.reportReply()
	case inspection.Explain != nil:
		inspection.Explain <- d.explain(inspection.Flow)
	default:
	}
}

func (d *decider) statusReply() hickorymessage.StatusReply {
	load := d.tracker.Load()
	reply := hickorymessage.StatusReply{
		Instance:     d.settings.Instance,
		Role:         hickoryplatform.RoleAgent,
		Zone:         d.settings.Zone,
		Region:       d.settings.Region,
		UptimeMillis: int(d.clock.Uptime().Milliseconds()),
		Fresh:        d.table != nil,
		Draining:     d.draining.Load(),
		Received:     int(d.datagramsReceived()),
		Services:     []hickorymessage.ServiceStatus{},
		Drops:        d.drops.Counts(),
		Upstream: &hickorymessage.UpstreamStatus{
			Upstream: d.settings.Upstream,
			Service:  d.settings.Service,
			Load:     hickoryflow.LoadMessage(load),
		},
	}
	if d.table != nil {
		reply.Services = hickorystatus.Services([]hickorymodel.Service{d.service})
	}
	return reply
}

func (d *decider) reportReply() hickorymessage.ReportReply {
	reply := hickorymessage.ReportReply{
		Instance:     d.settings.Instance,
		Role:         hickoryplatform.RoleAgent,
		UptimeMillis: int(d.clock.Uptime().Milliseconds()),
		Counts:       []hickorymessage.ServiceCounts{},
	}
	if d.table == nil {
		return reply
	}
	counts := d.tracker.Counts()
	reply.Counts = append(reply.Counts, hickorymessage.ServiceCounts{
		Team:     d.service.Team,
		Service:  d.service.Name,
		Upstream: d.settings.Upstream,

		Accepting:   d.tracker.Accepting(),
		Opened:      counts.Opened,
		Ended:       counts.Ended,
		Open:        d.tracker.Flows(),
		Lost:        counts.Lost,
		Refused:     counts.Refused,
		ZoneWindows: d.zoneWindows(),
	})
	return reply
}

func (d *decider) zoneWindows() []hickorymessage.ZoneWindow {
	now := d.clock.Now()
	windows := []hickorymessage.ZoneWindow{}
	for _, window := range d.tracker.ZoneWindows() {
		windows = append(windows, hickorymessage.ZoneWindow{
			Zone:      window.Zone,
			Change:    window.Change,
			AgeMillis: int(now.Sub(window.StartedAt).Milliseconds()),
			Open:      window.Open,
			Opened:    window.Counts.Opened,
			Lost:      window.Counts.Lost,
			Refused:   window.Counts.Refused,
		})
	}
	return windows
}

// explain returns how the flow is mapped to its candidates, and what this agent has
// stored about it.
func (d *decider) explain(key hickorymodel.FlowKey) hickorymessage.ExplainReply {
	now := d.clock.Now()
	explanation, found := d.tracker.Explain(now, key)
	reply := hickorystatus.Explain(&explanation, found)
	view, owner := d.tracker.LookUpFlow(now, key)
	reply.View = &view
	if !owner.IsZero() {
		id := owner.ID()
		reply.Owner = &id
	}
	return reply
}
