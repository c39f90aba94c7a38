package hickoryconfig_test

import (
	"fmt"
	"runtime"
	"testing"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
)

// manySections returns sections of 10 services with 55 upstreams in all, close to
// the 54 of the target: 2,600 addresses and 14,000 hosts with 260 teams.
func manySections(teams int) map[hickoryid.TeamName]hickoryconfig.Accepted {
	accepted := map[hickoryid.TeamName]hickoryconfig.Accepted{}
	for t := range teams {
		section := hickorydocument.Section{Team: hickoryid.TeamName(fmt.Sprintf("team-%d", t))}
		for z := range 11 {
			section.Zones = append(section.Zones, hickorydocument.Zone{
				Name: hickoryid.ZoneName(fmt.Sprintf("zone-%d", z)), Region: "r", State: hickorydocument.ZoneStateInService,
			})
		}
		for s := range 10 {
			section.Services = append(section.Services, manyService(t, s))
		}
		accepted[section.Team] = hickoryconfig.Accepted{Version: 1, Section: section}
	}
	return accepted
}

func manyService(team, number int) hickorydocument.Service {
	service := hickorydocument.Service{
		Name:   hickoryid.ServiceName(fmt.Sprintf("service-%d-%d", team, number)),
		Number: hickoryid.ServiceNumber(team*10 + number + 1),
		Slots:  6, Connections: 2000, RampTime: "20s", OpeningTimeout: "2s",
		Addresses: []hickorydocument.ServiceAddress{{
			Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.%d.%d.%d:443", team/250, team%250, number+1)),
			Protocol: hickorydocument.ProtocolTcp,
		}},
	}
	for u := range 5 + number%2 {
		service.Upstreams = append(service.Upstreams, hickorydocument.Upstream{
			ID:       hickoryid.UpstreamID(fmt.Sprintf("u-%d-%d-%d", team, number, u)),
			Zone:     hickoryid.ZoneName(fmt.Sprintf("zone-%d", u)),
			Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.2%02d.%d.%d:6081", team/250, team%250, number*6+u+1)),
		})
	}
	return service
}

// BenchmarkSections reports the memory of accepted sections and of the services
// built from them, and the time to build the services, at three sizes.
func BenchmarkSections(b *testing.B) {
	for _, teams := range []int{65, 130, 260} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			before := heapBytes()
			accepted := manySections(teams)
			services, _ := hickoryconfig.Resolve(accepted, nil)
			used := heapBytes() - before
			for b.Loop() {
				services, _ = hickoryconfig.Resolve(accepted, nil)
			}
			b.ReportMetric(float64(used)/1e6, "MB")
			b.ReportMetric(float64(len(services)), "services")
			runtime.KeepAlive(accepted)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
