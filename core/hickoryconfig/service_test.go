package hickoryconfig_test

import (
	"encoding/json"
	"fmt"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

// service simulates the configuration service.
type service struct {
	fleet *fleet
	index int
	// values holds the newest value of each key, history all values at each index.
	values  map[string]hickoryplatform.Value
	changed map[string]int
	history []hickoryplatform.Values
	// stale is the index whose state the service returns; 0 for the newest.
	stale int
	down  bool
	// ignoreWait makes the service answer watches at once.
	ignoreWait bool
	// readableBy limits which machines get answers; nil for all.
	readableBy func(m *machine) bool
	// reads counts the calls in each second.
	reads map[hickorymodel.Instant]int
}

func newService(f *fleet) *service {
	return &service{
		fleet:   f,
		values:  map[string]hickoryplatform.Value{},
		changed: map[string]int{},
		history: []hickoryplatform.Values{{}},
		reads:   map[hickorymodel.Instant]int{},
	}
}

// publish stores a section, as operators do.
func (s *service) publish(team hickoryid.TeamName, content string) hickoryid.SectionVersion {
	s.index++
	key := "sections/" + string(team)
	value := hickoryplatform.Value{Key: key, Version: hickoryid.SectionVersion(s.index), Content: content}
	s.values[key] = value
	s.changed[key] = s.index
	all := hickoryplatform.Values{Index: s.index}
	for _, v := range s.values {
		all.Values = append(all.Values, v)
	}
	s.history = append(s.history, all)
	return value.Version
}

func (s *service) read(m *machine, read hickoryconfig.Read) {
	f := s.fleet
	startedAt := f.now
	s.reads[f.now/second]++
	if s.down || s.readableBy != nil && !s.readableBy(m) {
		f.on(m, f.now.Add(linkDelay), func() { f.perform(m, m.node.ReadFailed(f.now)) })
		return
	}
	wait := read.Wait
	if s.shown() > read.After || s.ignoreWait {
		wait = 0
	}
	restartCount := m.restartCount
	f.at(f.now.Add(wait), func() {
		values := s.after(read.After)
		if m.restartCount == restartCount {
			f.on(m, f.now.Add(linkDelay), func() { f.perform(m, m.node.HandleValues(f.now, startedAt, values)) })
		}
	})
}

// shown returns the index whose state the service returns.
func (s *service) shown() int {
	if s.stale > 0 {
		return s.stale
	}
	return s.index
}

// after returns the values that changed after an index.
func (s *service) after(index int) hickoryplatform.Values {
	state := s.history[s.shown()]
	answer := hickoryplatform.Values{Index: state.Index}
	for _, value := range state.Values {
		if int(value.Version) > index {
			answer.Values = append(answer.Values, value)
		}
	}
	return answer
}

// sectionOption changes a section of a test.
type sectionOption func(*hickorydocument.Section)

// zoneOut takes a zone out of service.
func zoneOut(zone hickoryid.ZoneName) sectionOption {
	return func(section *hickorydocument.Section) {
		for i := range section.Zones {
			if section.Zones[i].Name == zone {
				section.Zones[i].State = hickorydocument.ZoneStateOutOfService
			}
		}
	}
}

// sectionOf returns the content of a section with one service that has an upstream
// in each zone.
func sectionOf(team hickoryid.TeamName, number int, address string, options ...sectionOption) string {
	section := hickorydocument.Section{Team: team}
	service := hickorydocument.Service{
		Name:           hickoryid.ServiceName(team + "-service"),
		Number:         hickoryid.ServiceNumber(number),
		Slots:          6,
		Connections:    2000,
		RampTime:       "20s",
		OpeningTimeout: "2s",
		Addresses: []hickorydocument.ServiceAddress{{
			Endpoint: hickoryid.Endpoint(address), Protocol: hickorydocument.ProtocolTcp,
		}},
	}
	for i, zone := range []hickoryid.ZoneName{"tt-north-a", "tt-north-b", "tt-north-c"} {
		section.Zones = append(section.Zones, hickorydocument.Zone{
			Name: zone, Region: "tt-north", State: hickorydocument.ZoneStateInService,
		})
		service.Upstreams = append(service.Upstreams, hickorydocument.Upstream{
			ID:       hickoryid.UpstreamID(fmt.Sprintf("%s-%d", team, i)),
			Zone:     zone,
			Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.2.%d.%d:6081", number, i+1)),
		})
	}
	section.Services = []hickorydocument.Service{service}
	for _, option := range options {
		option(&section)
	}
	text, _ := json.Marshal(section)
	return string(text)
}
