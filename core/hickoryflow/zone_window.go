package hickoryflow

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryaudit"
	"hickoryworks/schema/hickoryid"
)

const (
	// zoneWindowTime is the time after a zone's change that the report covers.
	zoneWindowTime = 60 * time.Second
	// maxZoneWindows is the number of windows kept; operators collect reports
	// more often than a service has this many changes.
	maxZoneWindows = 64
)

// ZoneWindow holds the counts of the time after a zone left or returned. They
// cover less than zoneWindowTime while the window is still open.
type ZoneWindow struct {
	Zone      hickoryid.ZoneName
	Change    hickoryaudit.ZoneChange
	StartedAt hickorymodel.Instant
	// Open is the number of open flows at the change.
	Open   int
	Counts Counts
}

// zoneWindows records the changes of the zones of this agent's service.
type zoneWindows struct {
	// excluded holds the zones that were out of service at the last update.
	excluded []hickoryid.ZoneName
	started  bool
	// windows has at most maxZoneWindows entries, the oldest first. While a
	// window is open its Counts are the counters at its start.
	windows []ZoneWindow
	// open is the number of open windows, which are at the end of the list.
	open int
}

// ZoneWindows returns the counts after the changes of zones so far.
func (t *Tracker) ZoneWindows() []ZoneWindow {
	windows := slices.Clone(t.zoneWindows.windows)
	for i := len(windows) - t.zoneWindows.open; i < len(windows); i++ {
		windows[i].Counts = t.counts.minus(windows[i].Counts)
	}
	return windows
}

// updateZoneWindows opens a window for each zone that has changed and closes
// windows after zoneWindowTime.
func (t *Tracker) updateZoneWindows(now hickorymodel.Instant) {
	z := &t.zoneWindows
	for z.open > 0 && now.Sub(z.windows[len(z.windows)-z.open].StartedAt) >= zoneWindowTime {
		closing := &z.windows[len(z.windows)-z.open]
		closing.Counts = t.counts.minus(closing.Counts)
		z.open--
	}
	excluded := t.service.ExcludedZones
	if slices.Equal(excluded, z.excluded) {
		z.started = true
		return
	}
	if z.started {
		t.openWindows(now, excluded, z.excluded, hickoryaudit.ZoneChangeLeft)
		t.openWindows(now, z.excluded, excluded, hickoryaudit.ZoneChangeReturned)
	}
	z.started = true
	z.excluded = excluded
}

// openWindows opens a window for each zone of one list that is not in the
// other.
func (t *Tracker) openWindows(now hickorymodel.Instant, zones, other []hickoryid.ZoneName, change hickoryaudit.ZoneChange) {
	z := &t.zoneWindows
	for _, zone := range zones {
		if slices.Contains(other, zone) {
			continue
		}
		if len(z.windows) >= maxZoneWindows {
			z.windows = slices.Delete(z.windows, 0, 1)
			z.open = min(z.open, len(z.windows))
		}
		z.windows = append(z.windows, ZoneWindow{
			Zone:      zone,
			Change:    change,
			StartedAt: now,
			Open:      t.flows.len(),
			Counts:    t.counts,
		})
		z.open++
	}
}

func (c Counts) minus(earlier Counts) Counts {
	return Counts{
		Opened:  c.Opened - earlier.Opened,
		Ended:   c.Ended - earlier.Ended,
		Lost:    c.Lost - earlier.Lost,
		Refused: c.Refused - earlier.Refused,
	}
}
