package hickorybalancer

import (
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorystatus"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// inspect answers a request of hickoryctl.
func (d *decider) inspect(inspection hickoryring.Inspection) {
	switch {
	case inspection.Status != nil:
		inspection.Status <- d.statusReply()
	case inspection.Report != nil:
		inspection.Report <- hickorymessage.ReportReply{
			Instance:     d.settings.Instance,
			Role:         hickoryplatform.RoleBalancer,
			UptimeMillis: int(d.clock.Uptime().Milliseconds()),
			Counts:       []hickorymessage.ServiceCounts{},
		}
	case inspection.Explain != nil:
		inspection.Explain <- d.explain(inspection)
	default:
	}
}

func (d *decider) statusReply() hickorymessage.StatusReply {
	reply := hickorymessage.StatusReply{
		Instance:     d.settings.Instance,
		Role:         hickoryplatform.RoleBalancer,
		Zone:         d.settings.Zone,
		Region:       d.settings.Region,
		UptimeMillis: int(d.clock.Uptime().Milliseconds()),
		Fresh:        d.table != nil,
		Draining:     d.draining(),
		Received:     int(d.received()),
		Services:     []hickorymessage.ServiceStatus{},
		Drops:        d.drops.Counts(),
	}
	if d.table != nil {
		reply.Services = hickorystatus.Services(d.table.Services())
	}
	return reply
}

func (d *decider) explain(inspection hickoryring.Inspection) hickorymessage.ExplainReply {
	if d.table == nil {
		return hickorymessage.ExplainReply{Candidates: []hickorymessage.CandidateView{}}
	}
	explanation, found := d.table.Explain(d.clock.Now(), &inspection.Flow)
	return hickorystatus.Explain(&explanation, found)
}
