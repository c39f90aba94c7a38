package hickoryconfig_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
)

func sectionFrom(t *testing.T, content string) hickorydocument.Section {
	is := is.New(t)
	var section hickorydocument.Section
	is.NoErr(json.Unmarshal([]byte(content), &section))
	return section
}

// TestCheckFindsProblems guards against sections with faults that the schema can't
// express, such as two services or two upstreams with the same name or endpoint.
func TestCheckFindsProblems(t *testing.T) {
	cases := []struct {
		name   string
		change func(section *hickorydocument.Section)
		paths  []string
	}{
		{"none", func(*hickorydocument.Section) {}, nil},
		{"team differs from key", func(s *hickorydocument.Section) { s.Team = "other" }, []string{"team"}},
		{"zone listed twice", func(s *hickorydocument.Section) { s.Zones[1].Name = s.Zones[0].Name },
			[]string{"zones[1].name", "services[0].upstreams[1].zone"}},
		{"zone not listed", func(s *hickorydocument.Section) { s.Services[0].Upstreams[2].Zone = "elsewhere" },
			[]string{"services[0].upstreams[2].zone"}},
		{"service twice", func(s *hickorydocument.Section) { s.Services = append(s.Services, s.Services[0]) },
			[]string{
				"services[1].name", "services[1].number", "services[1].addresses[0].endpoint",
				"services[1].upstreams[0].id", "services[1].upstreams[0].endpoint",
				"services[1].upstreams[1].id", "services[1].upstreams[1].endpoint",
				"services[1].upstreams[2].id", "services[1].upstreams[2].endpoint",
			}},
		{"upstream endpoint is IPv6", func(s *hickorydocument.Section) { s.Services[0].Upstreams[0].Endpoint = "[2001:db8::1]:6081" },
			[]string{"services[0].upstreams[0].endpoint"}},
		{"upstream port is 0", func(s *hickorydocument.Section) { s.Services[0].Upstreams[0].Endpoint = "10.0.0.1:0" },
			[]string{"services[0].upstreams[0].endpoint"}},
		{"address port is 0", func(s *hickorydocument.Section) { s.Services[0].Addresses[0].Endpoint = "10.0.0.1:0" },
			[]string{"services[0].addresses[0].endpoint"}},
		{"address is invalid", func(s *hickorydocument.Section) { s.Services[0].Addresses[0].Endpoint = "10.0.0.999:1" },
			[]string{"services[0].addresses[0].endpoint"}},
		{"durations are 0", func(s *hickorydocument.Section) { s.Services[0].RampTime, s.Services[0].OpeningTimeout = "0s", "0ms" },
			[]string{"services[0].rampTime", "services[0].openingTimeout"}},
		{"pools of another team", func(s *hickorydocument.Section) {
			s.AddressPools = []hickorydocument.AddressPool{{Team: team, Prefixes: []hickoryid.Prefix{"10.0.0.0/99"}}}
		}, []string{"addressPools", "addressPools[0].prefixes[0]"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			section := sectionFrom(t, plainSection())
			c.change(&section)
			var paths []string
			for _, problem := range hickoryconfig.Check(team, section) {
				paths = append(paths, problem.Path)
			}
			is.Equal(paths, c.paths)
		})
	}
}

// TestClaimsDoNotDependOnOrder guards against two instances that give the same
// address to different teams, because the sections arrived in a different order.
func TestClaimsDoNotDependOnOrder(t *testing.T) {
	is := is.New(t)
	offers := []hickoryconfig.Offer{
		{Team: "pagebound", Version: 1, Content: sectionOf("pagebound", 1, "10.1.0.1:443")},
		{Team: "arboleda", Version: 2, Content: sectionOf("arboleda", 2, "10.1.0.1:443")},
	}
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		f := newFleet(t, 0, 1)
		store := hickoryconfig.NewStore(f.decode)
		for _, i := range order {
			outcome, _ := store.Accept(offers[i])
			is.Equal(outcome, hickoryconfig.OutcomeAccepted)
		}
		services, refused := hickoryconfig.Resolve(store.Effective(nil), nil)
		is.Equal(len(services), 1)
		is.Equal(services[0].Team, hickoryid.TeamName("arboleda"))
		is.Equal(len(refused), 1)
		is.Equal(refused[0].RefusalReason, hickoryconfig.RefusedAddressTaken)
		is.Equal(refused[0].Team, hickoryid.TeamName("pagebound"))
		is.Equal(refused[0].Owner, hickoryid.TeamName("arboleda"))
	}
}

// TestPoolsLimitClaims guards against a team that uses an address of another
// team's pool, and against a team that assigns pools to itself.
func TestPoolsLimitClaims(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	store := hickoryconfig.NewStore(f.decode)
	platform := `{"team": "platform", "addressPools": [{"team": "pagebound", "prefixes": ["10.1.0.0/24"]}]}`
	for _, offer := range []hickoryconfig.Offer{
		{Team: "arboleda", Version: 1, Content: sectionOf("arboleda", 2, "10.1.0.2:443")},
		{Team: "pagebound", Version: 2, Content: sectionOf("pagebound", 1, "10.1.0.1:443")},
		{Team: "platform", Version: 3, Content: platform},
	} {
		outcome, _ := store.Accept(offer)
		is.Equal(outcome, hickoryconfig.OutcomeAccepted)
	}
	services, refused := hickoryconfig.Resolve(store.Effective(nil), nil)
	is.Equal(len(services), 1)
	is.Equal(services[0].Team, hickoryid.TeamName("pagebound"))
	is.Equal(refused[0].RefusalReason, hickoryconfig.RefusedOutsidePools)
	outcome, problems := store.Accept(hickoryconfig.Offer{Team: "arboleda", Version: 4, Content: `{"team": "arboleda", "addressPools": [{"team": "arboleda", "prefixes": ["10.0.0.0/8"]}]}`})
	is.Equal(outcome, hickoryconfig.OutcomeRejected)
	is.Equal(problems[0].Path, "addressPools")
}

// TestTombstoneEndsServices guards against a deleted section whose services come
// back because a peer sends an older version.
func TestTombstoneEndsServices(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 0, 1)
	store := hickoryconfig.NewStore(f.decode)
	for _, offer := range []hickoryconfig.Offer{
		{Team: team, Version: 3, Content: plainSection()},
		{Team: team, Version: 5, Deleted: true},
		{Team: team, Version: 4, Content: plainSection()},
	} {
		_, problems := store.Accept(offer)
		is.Equal(len(problems), 0)
	}
	services, _ := hickoryconfig.Resolve(store.Effective(nil), nil)
	is.Equal(len(services), 0)
	held, _ := store.Held(team)
	is.Equal(held.Version, hickoryid.SectionVersion(5))
}
