package hickorystandin

import (
	"maps"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorypayload"
)

// LeavingTimeLimit is the time after which a leaving upstream takes no new flows (P8).
const LeavingTimeLimit = 3 * time.Second

// UpstreamCounts is what one upstream has seen.
type UpstreamCounts struct {
	// Foreign counts packets that were meant for another service.
	Foreign int
	// Openings counts first packets; LateOpenings those that came later than
	// LeavingTimeLimit after Drain.
	Openings     int
	LateOpenings int
	// Resets counts segments of unknown connections.
	Resets int
	// Shed counts openings and Refused requests that were not taken in.
	Shed    int
	Refused int
	// Expired and Cancelled count requests that were taken in but not run.
	Expired   int
	Cancelled int
	// Collapses counts the times that the upstream had more than it bears while cold.
	Collapses int
	// WorkPeak and ConnectionPeak are the highest loads while the upstream was not warm.
	WorkPeak       Peak
	ConnectionPeak Peak
	// Connections is the number of open connections now.
	Connections int
}

func (c *UpstreamCounts) recordOpening(now, drainedAt time.Time) {
	c.Openings++
	if !drainedAt.IsZero() && now.Sub(drainedAt) > LeavingTimeLimit {
		c.LateOpenings++
	}
}

// Counts returns what the upstream has seen so far.
func (u *Upstream) Counts() UpstreamCounts {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	counts := u.counts
	counts.WorkPeak = u.warmUp.workPeak
	counts.ConnectionPeak = u.warmUp.connectionPeak
	counts.Connections = len(u.connections)
	return counts
}

// OpenConnections returns the number of open connections.
func (u *Upstream) OpenConnections() int {
	return u.Counts().Connections
}

// Foreign returns the number of packets that were meant for another service.
func (u *Upstream) Foreign() int {
	return u.Counts().Foreign
}

// Runs returns how often each request was run.
func (u *Upstream) Runs() map[hickorypayload.RequestNumber]int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return maps.Clone(u.runs)
}

// Accepted returns the flows whose first packet the upstream took in.
func (u *Upstream) Accepted() map[hickorymodel.FlowKey]struct{} {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return maps.Clone(u.accepted)
}

func (u *Upstream) recordAccepted(now time.Time, key hickorymodel.FlowKey) {
	u.accepted[key] = struct{}{}
	if _, known := u.firstOpenedAt[key.Destination]; !known {
		u.firstOpenedAt[key.Destination] = now
	}
}

// FirstOpening returns the time at which the upstream took in its first flow of
// a service address, or false when it has taken in none.
func (u *Upstream) FirstOpening(address hickorymodel.SocketAddress) (time.Time, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	at, ok := u.firstOpenedAt[address]
	return at, ok
}
