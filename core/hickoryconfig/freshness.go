package hickoryconfig

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// FreshWindow is how long a confirmation counts. A zone that was taken out of
	// service gets no packet later than this from a balancer that missed it.
	FreshWindow = 3 * time.Second
	// PauseLimit is the longest pause after which confirmations still count. The
	// heartbeat is TickInterval, so a shorter limit would count a busy machine.
	PauseLimit = time.Second
	// heardStep is the unit of ages in DigestReply.Heard.
	heardStep = 125 * time.Millisecond
	heardNone = '-'
)

// Freshness decides whether a balancer may forward. All times in it are lower
// bounds: an answer counts from the time its request was sent, so that an
// answer which waited in a socket while the process was paused is as old as it is.
type Freshness struct {
	self hickoryid.InstanceID
	// without holds the rules that a test has switched off.
	without Rule

	ticked hickorymodel.Instant
	// resumed is the end of the last pause; confirmed is true when an exchange
	// or a read that began since has completed.
	resumed   hickorymodel.Instant
	confirmed bool

	// readAt is the time of the newest read of the service that all known
	// headers cover; 0 when there is none.
	readAt    hickorymodel.Instant
	reader    hickoryid.InstanceID
	readIndex int

	members     []hickoryid.InstanceID
	membersHash string
	// heard has the newest sign of life of each member.
	heard map[hickoryid.InstanceID]hickorymodel.Instant
}

// NewFreshness returns a freshness without confirmations.
func NewFreshness(self hickoryid.InstanceID) *Freshness {
	return &Freshness{self: self, heard: map[hickoryid.InstanceID]hickorymodel.Instant{}}
}

// Tick notes that the process runs. It reports a pause when the last call was
// too long ago.
func (f *Freshness) Tick(now hickorymodel.Instant) bool {
	paused := f.ticked != 0 && now.Sub(f.ticked) > PauseLimit
	f.ticked = now
	if paused && !f.without.has(RulePause) {
		f.resumed = now
		f.confirmed = false
	}
	return paused
}

// SetMembers replaces the listed balancers of the region.
func (f *Freshness) SetMembers(members []hickoryid.InstanceID, hash string) {
	f.members, f.membersHash = members, hash
	for id := range f.heard {
		if !slices.Contains(members, id) {
			delete(f.heard, id)
		}
	}
}

// RecordRead notes an own read of the service. An answer with a lower index than
// is known elsewhere is stale and confirms nothing.
func (f *Freshness) RecordRead(startedAt hickorymodel.Instant, index int) {
	if index < f.readIndex && !f.without.has(RuleStaleReads) {
		return
	}
	f.readIndex = max(f.readIndex, index)
	f.confirm(startedAt)
	f.setRead(startedAt, f.self)
}

// RecordExchange notes an exchange in which all headers of the peer were merged.
func (f *Freshness) RecordExchange(sentAt hickorymodel.Instant, beacon hickorymessage.Beacon) {
	f.confirm(sentAt)
	f.RecordIndex(beacon)
	f.hear(beacon.Instance, sentAt)
	if beacon.ReadAgeMillis >= 0 && beacon.Reader != nil {
		f.setRead(sentAt.Add(-time.Duration(beacon.ReadAgeMillis)*time.Millisecond), *beacon.Reader)
	}
}

// RecordIndex notes the index that a peer knows of.
func (f *Freshness) RecordIndex(beacon hickorymessage.Beacon) {
	f.readIndex = max(f.readIndex, beacon.ReadIndex)
}

// RecordContactAges notes which members a peer has heard of.
func (f *Freshness) RecordContactAges(sentAt hickorymodel.Instant, listHash, heard string) {
	if listHash != f.membersHash || len(heard) != len(f.members) {
		return
	}
	for i, id := range f.members {
		if heard[i] != heardNone {
			f.hear(id, sentAt.Add(-time.Duration(heard[i]-'A')*heardStep))
		}
	}
}

// Heard returns the ages of the members' signs of life in the form of a message.
func (f *Freshness) Heard(now hickorymodel.Instant) string {
	text := make([]byte, len(f.members))
	for i, id := range f.members {
		text[i] = f.heardLetter(now, id)
	}
	return string(text)
}

func (f *Freshness) heardLetter(now hickorymodel.Instant, id hickoryid.InstanceID) byte {
	if id == f.self {
		return 'A'
	}
	at, ok := f.heard[id]
	if !ok {
		return heardNone
	}
	steps := (now.Sub(at) + heardStep - 1) / heardStep
	if steps > 'Z'-'A' {
		return heardNone
	}
	return 'A' + byte(steps)
}

// Until returns the time up to which the balancer is fresh; 0 when it is not.
func (f *Freshness) Until(now hickorymodel.Instant) hickorymodel.Instant {
	if f.without.has(RuleFreshWindow) {
		return now.Add(FreshWindow)
	}
	if !f.confirmed {
		return 0
	}
	newest := f.readAt
	if now.Sub(newest) >= FreshWindow || newest == 0 {
		newest = f.majorityAt(now)
	}
	if newest == 0 {
		return 0
	}
	return newest.Add(FreshWindow)
}

// Fresh reports whether the balancer may forward.
func (f *Freshness) Fresh(now hickorymodel.Instant) bool {
	return now.Before(f.Until(now))
}

// ReadAge returns the age of the newest known read in the form of a message. It
// is rounded up, and at least 1, since 0 would be left out of the message.
func (f *Freshness) ReadAge(now hickorymodel.Instant) int {
	if f.readAt == 0 {
		return -1
	}
	return int(now.Sub(f.readAt)/time.Millisecond) + 1
}

// majorityAt returns the newest time since which more than half of the listed
// balancers of the region have given a sign of life; 0 when there is none.
func (f *Freshness) majorityAt(now hickorymodel.Instant) hickorymodel.Instant {
	times := make([]hickorymodel.Instant, 0, len(f.members))
	for _, id := range f.members {
		if id == f.self {
			times = append(times, now)
		} else if at, ok := f.heard[id]; ok {
			times = append(times, at)
		}
	}
	needed := len(f.members)/2 + 1
	if len(f.members) == 0 || len(times) < needed {
		return 0
	}
	slices.Sort(times)
	return times[len(times)-needed]
}

func (f *Freshness) confirm(startedAt hickorymodel.Instant) {
	if startedAt >= f.resumed {
		f.confirmed = true
	}
}

func (f *Freshness) setRead(at hickorymodel.Instant, reader hickoryid.InstanceID) {
	if at > f.readAt {
		f.readAt, f.reader = at, reader
	}
}

func (f *Freshness) hear(id hickoryid.InstanceID, at hickorymodel.Instant) {
	if _, listed := slices.BinarySearch(f.members, id); listed && at > f.heard[id] {
		f.heard[id] = at
	}
}
