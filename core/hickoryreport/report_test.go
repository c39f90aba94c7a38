package hickoryreport_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryreport"
	"hickoryworks/schema/hickoryaudit"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

func reply(instance hickoryid.InstanceID, counts hickorymessage.ServiceCounts) hickorymessage.ReportReply {
	counts.Team = "pagebound"
	counts.Service = "clubroom"
	return hickorymessage.ReportReply{
		Instance: instance, Role: "agent", UptimeMillis: 1000, Counts: []hickorymessage.ServiceCounts{counts},
	}
}

// TestCollectShowsMissingInstances guards against reports that treat an instance
// without an answer as one whose counters are zero: its counters are not known.
func TestCollectShowsMissingInstances(t *testing.T) {
	is := is.New(t)
	listed := []hickoryreport.Listed{
		{Instance: "agent-1", Upstream: "clubroom-1", Service: "clubroom"},
		{Instance: "agent-2", Upstream: "clubroom-2", Service: "clubroom"},
		{Instance: "agent-3", Upstream: "clubroom-3", Service: "clubroom"},
		{Instance: "balancer-1"},
	}
	window := hickorymessage.ZoneWindow{Zone: "tt-north-d", Change: "left", Open: 90, Opened: 10, Lost: 1, Refused: 10}
	report := hickoryreport.Collect(time.Unix(0, 0), listed, []hickorymessage.ReportReply{
		reply("agent-1", hickorymessage.ServiceCounts{Upstream: "clubroom-1", Accepting: true, Opened: 600, Open: 110, Lost: 2, Refused: 5, ZoneWindows: []hickorymessage.ZoneWindow{window}}),
		reply("agent-2", hickorymessage.ServiceCounts{Upstream: "clubroom-2", Accepting: true, Opened: 400, Open: 90, Lost: 1, ZoneWindows: []hickorymessage.ZoneWindow{window}}),
	})
	is.Equal(report.Coverage.Listed, 4)
	is.Equal(report.Coverage.Missing, []hickoryid.InstanceID{"agent-3", "balancer-1"})
	service := report.Services[0]
	is.Equal(service.Coverage.Listed, 3)
	is.Equal(service.Coverage.Answered, 2)
	is.Equal(service.Coverage.ObservedMillis, 2000)
	is.Equal(service.Broken, hickoryaudit.Share{Count: 3, Of: 1000, PerMillion: 3000})
	is.Equal(service.Refused.Of, 1005)
	is.Equal(service.Imbalance, hickoryaudit.Imbalance{Upstreams: 2, Largest: 110, Mean: 100, Ratio: 1.1})
	is.Equal(service.Zones, []hickoryaudit.ZoneService{{
		Zone: "tt-north-d", Change: "left", Agents: 2,
		Lost:    hickoryaudit.Share{Count: 2, Of: 200, PerMillion: 10_000},
		Refused: hickoryaudit.Share{Count: 20, Of: 40, PerMillion: 500_000},
	}})
}

// TestDiffRefusesOtherDefinitions guards against comparing figures that are defined
// differently, for example those of reports from different years.
func TestDiffRefusesOtherDefinitions(t *testing.T) {
	is := is.New(t)
	old := &hickoryaudit.Report{DefinitionVersion: 1}
	_, err := hickoryreport.Diff(old, &hickoryaudit.Report{DefinitionVersion: 2})
	is.True(err != nil)
	changes, err := hickoryreport.Diff(old, &hickoryaudit.Report{
		DefinitionVersion: 1,
		Services:          []hickoryaudit.ServiceFigures{{Team: "pagebound", Service: "clubroom"}},
	})
	is.NoErr(err)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Before, nil)
}
