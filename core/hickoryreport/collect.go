package hickoryreport

import (
	"cmp"
	"slices"
	"time"

	"hickoryworks/schema/hickoryaudit"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// DefinitionVersion is the version of the definitions of the figures in
// docs/measures.md. It is increased when the meaning of a figure changes.
const DefinitionVersion = 1

// Listed is one instance of the platform's instance list.
type Listed struct {
	Instance hickoryid.InstanceID
	// Upstream is empty for a balancer.
	Upstream hickoryid.UpstreamID
	// Service is empty for a balancer, or when it is not known.
	Service hickoryid.ServiceName
}

// Collect computes the report from the replies of the instances that answered.
// Listed instances without a reply appear as missing in the coverage.
func Collect(collectedAt time.Time, listed []Listed, replies []hickorymessage.ReportReply) hickoryaudit.Report {
	answered := map[hickoryid.InstanceID]hickorymessage.ReportReply{}
	for _, reply := range replies {
		answered[reply.Instance] = reply
	}
	report := hickoryaudit.Report{
		DefinitionVersion: DefinitionVersion,
		CollectedAt:       collectedAt,
		Coverage:          coverage(listed, answered),
		Services:          []hickoryaudit.ServiceFigures{},
	}
	for _, service := range services(replies) {
		report.Services = append(report.Services, serviceFigures(service, listed, answered))
	}
	return report
}

// serviceKey identifies a service of a team.
type serviceKey struct {
	team    hickoryid.TeamName
	service hickoryid.ServiceName
}

func services(replies []hickorymessage.ReportReply) []serviceKey {
	var keys []serviceKey
	for _, reply := range replies {
		for _, counts := range reply.Counts {
			key := serviceKey{team: counts.Team, service: counts.Service}
			if !slices.Contains(keys, key) {
				keys = append(keys, key)
			}
		}
	}
	slices.SortFunc(keys, func(a, b serviceKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.service, b.service))
	})
	return keys
}

// coverage counts the listed instances that answered and lists the others.
func coverage(listed []Listed, answered map[hickoryid.InstanceID]hickorymessage.ReportReply) hickoryaudit.Coverage {
	c := hickoryaudit.Coverage{Listed: len(listed), Missing: []hickoryid.InstanceID{}}
	for _, instance := range listed {
		reply, ok := answered[instance.Instance]
		if !ok {
			c.Missing = append(c.Missing, instance.Instance)
			continue
		}
		c.Answered++
		c.ObservedMillis += reply.UptimeMillis
	}
	slices.Sort(c.Missing)
	return c
}

func serviceFigures(key serviceKey, listed []Listed, answered map[hickoryid.InstanceID]hickorymessage.ReportReply) hickoryaudit.ServiceFigures {
	var serviceInstances []Listed
	for _, instance := range listed {
		if instance.Service == key.service {
			serviceInstances = append(serviceInstances, instance)
		}
	}
	counts := serviceCounts(key, answered)
	return hickoryaudit.ServiceFigures{
		Team:      key.team,
		Service:   key.service,
		Coverage:  coverage(serviceInstances, answered),
		Broken:    broken(counts),
		Refused:   refused(counts),
		Imbalance: imbalance(counts),
		Zones:     zones(counts),
	}
}

// serviceCounts returns the counts of a service from all replies, sorted by
// upstream.
func serviceCounts(key serviceKey, answered map[hickoryid.InstanceID]hickorymessage.ReportReply) []hickorymessage.ServiceCounts {
	var all []hickorymessage.ServiceCounts
	for _, reply := range answered {
		for _, counts := range reply.Counts {
			if counts.Team == key.team && counts.Service == key.service {
				all = append(all, counts)
			}
		}
	}
	slices.SortFunc(all, func(a, b hickorymessage.ServiceCounts) int {
		return cmp.Compare(a.Upstream, b.Upstream)
	})
	return all
}

// broken returns the lost flows, those for whose packets no owner was found, as a
// share of the opened ones.
func broken(all []hickorymessage.ServiceCounts) hickoryaudit.Share {
	lost, opened := 0, 0
	for _, counts := range all {
		lost += counts.Lost
		opened += counts.Opened
	}
	return share(lost, opened)
}

// refused returns the first packets that no upstream accepted, as a share of these
// packets and the opened flows.
func refused(all []hickorymessage.ServiceCounts) hickoryaudit.Share {
	refusals, opened := 0, 0
	for _, counts := range all {
		refusals += counts.Refused
		opened += counts.Opened
	}
	return share(refusals, refusals+opened)
}

// imbalance compares the largest number of open flows of an upstream with the mean.
// It leaves out upstreams that do not accept new flows.
func imbalance(all []hickorymessage.ServiceCounts) hickoryaudit.Imbalance {
	result := hickoryaudit.Imbalance{}
	total := 0
	for _, counts := range all {
		if !counts.Accepting {
			continue
		}
		result.Upstreams++
		result.Largest = max(result.Largest, counts.Open)
		total += counts.Open
	}
	if total > 0 {
		result.Mean = float64(total) / float64(result.Upstreams)
		result.Ratio = float64(result.Largest) / result.Mean
	}
	return result
}

const perMillion = 1_000_000

func share(count, of int) hickoryaudit.Share {
	s := hickoryaudit.Share{Count: count, Of: of}
	if of > 0 {
		s.PerMillion = float64(count) / float64(of) * perMillion
	}
	return s
}
