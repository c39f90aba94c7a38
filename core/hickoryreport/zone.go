package hickoryreport

import (
	"hickoryworks/schema/hickoryaudit"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// zoneKey identifies a zone and the way in which it changed: left or returned to
// service.
type zoneKey struct {
	zone   hickoryid.ZoneName
	change hickoryaudit.ZoneChange
}

// zones adds up the zone windows of the agents: their counts in the 60 s after a zone
// left or returned. Several changes of one zone in the same direction are added
// together.
func zones(all []hickorymessage.ServiceCounts) []hickoryaudit.ZoneService {
	var order []zoneKey
	sums := map[zoneKey]*zoneSum{}
	for _, counts := range all {
		agents := map[zoneKey]bool{}
		for _, window := range counts.ZoneWindows {
			key := zoneKey{zone: window.Zone, change: window.Change}
			if sums[key] == nil {
				sums[key] = &zoneSum{}
				order = append(order, key)
			}
			sums[key].add(window, !agents[key])
			agents[key] = true
		}
	}
	result := []hickoryaudit.ZoneService{}
	for _, key := range order {
		result = append(result, sums[key].service(key))
	}
	return result
}

// zoneSum is the sum of the windows of one zoneKey. agents is the number of agents
// that reported one.
type zoneSum struct {
	agents, open, opened, lost, refused int
}

// add adds a window. firstOfAgent is true for the first window of an agent.
func (s *zoneSum) add(window hickorymessage.ZoneWindow, firstOfAgent bool) {
	if firstOfAgent {
		s.agents++
	}
	s.open += window.Open
	s.opened += window.Opened
	s.lost += window.Lost
	s.refused += window.Refused
}

func (s *zoneSum) service(key zoneKey) hickoryaudit.ZoneService {
	return hickoryaudit.ZoneService{
		Zone:    key.zone,
		Change:  key.change,
		Agents:  s.agents,
		Lost:    share(s.lost, s.open+s.opened),
		Refused: share(s.refused, s.refused+s.opened),
	}
}
