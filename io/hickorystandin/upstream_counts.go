package hickorystandin

import (
	"maps"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorypayload"
)

// LeavingTimeLimit is the time after Drain from which a leaving upstream must not
// receive new flows (guarantee P8).
const LeavingTimeLimit = 3 * time.Second

// UpstreamCounts holds the counts of one upstream.
type UpstreamCounts struct {
	// Foreign counts packets that were meant for another service.
	Foreign int
	// Openings counts first packets; LateOpenings counts those that arrived later
	// than LeavingTimeLimit after Drain.
	Openings     int
	LateOpenings int
	// Resets counts segments of unknown connections, which were replied to with a
	// reset.
	Resets int
	// Shed counts openings that were dropped, and Refused counts requests that were
	// refused, because the upstream had too much work or too many connections.
	Shed    int
	Refused int
	// Expired and Cancelled count requests that were accepted but not run.
	Expired   int
	Cancelled int
	// Collapses counts how often the load exceeded the capacity of the upstream
	// while it was not warm.
	Collapses int
	// WorkPeak and ConnectionPeak are the highest loads, relative to the capacity,
	// while the upstream was not warm.
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

// Counts returns the counts so far.
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

// Accepted returns the flows whose first packet the upstream accepted.
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

// FirstOpening returns the time at which the upstream accepted the first flow to a
// service address, or false if it has accepted none.
func (u *Upstream) FirstOpening(address hickorymodel.SocketAddress) (time.Time, bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	at, ok := u.firstOpenedAt[address]
	return at, ok
}
