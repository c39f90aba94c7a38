package hickoryconfig

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// FreshWindow is how long a confirmation is valid. A balancer that missed that a
	// zone was taken out of service stops sending packets there within this time.
	FreshWindow = 3 * time.Second
	// PauseLimit is the longest pause of the process after which earlier
	// confirmations are still valid. Tick is called every TickInterval, so with a
	// shorter limit a busy machine would be treated as a paused one.
	PauseLimit = time.Second
	// contactAgeStep is the unit of ages in DigestReply.Heard. noContact stands there
	// for a balancer without a recent contact.
	contactAgeStep = 125 * time.Millisecond
	noContact      = '-'
)

// Freshness decides whether the configuration of a balancer is recent enough to
// forward packets. It is confirmed by reads of the configuration service and by
// exchanges with peers. All times in it are lower bounds: an answer counts from
// the time its request was sent, so that an answer which waited in a socket while
// the process was paused is as old as its request.
type Freshness struct {
	self hickoryid.InstanceID
	// switchedOff holds the rules that a test has switched off.
	switchedOff Rule

	lastTickAt hickorymodel.Instant
	// resumedAt is the end of the last pause; confirmed is true when an exchange
	// or a read that began since then has completed.
	resumedAt hickorymodel.Instant
	confirmed bool

	// readAt is the start of the newest read of the configuration service whose
	// versions are all known here; 0 when there is none. reader is the instance
	// that made it. readIndex is the highest index of the configuration service
	// that a read or a message has shown.
	readAt    hickorymodel.Instant
	reader    hickoryid.InstanceID
	readIndex int

	// members are the listed balancers of the region, ordered by id.
	members     []hickoryid.InstanceID
	membersHash string
	// lastContact has the newest time at which each member is known to have run,
	// from its own answers or from those of other members.
	lastContact map[hickoryid.InstanceID]hickorymodel.Instant
}

// NewFreshness returns a Freshness without confirmations.
func NewFreshness(self hickoryid.InstanceID) *Freshness {
	return &Freshness{self: self, lastContact: map[hickoryid.InstanceID]hickorymodel.Instant{}}
}

// Tick records that the process runs. It reports a pause when the last call was
// more than PauseLimit ago.
func (f *Freshness) Tick(now hickorymodel.Instant) bool {
	paused := f.lastTickAt != 0 && now.Sub(f.lastTickAt) > PauseLimit
	f.lastTickAt = now
	if paused && !f.switchedOff.has(RulePause) {
		f.resumedAt = now
		f.confirmed = false
	}
	return paused
}

// SetMembers replaces the listed balancers of the region.
func (f *Freshness) SetMembers(members []hickoryid.InstanceID, hash string) {
	f.members, f.membersHash = members, hash
	for id := range f.lastContact {
		if !slices.Contains(members, id) {
			delete(f.lastContact, id)
		}
	}
}

// RecordRead records a read of the configuration service by this balancer. An
// answer with a lower index than readIndex is stale and confirms nothing.
func (f *Freshness) RecordRead(startedAt hickorymodel.Instant, index int) {
	if index < f.readIndex && !f.switchedOff.has(RuleStaleReads) {
		return
	}
	f.readIndex = max(f.readIndex, index)
	f.confirm(startedAt)
	f.setRead(startedAt, f.self)
}

// RecordExchange records an exchange in which all headers of the peer were merged.
func (f *Freshness) RecordExchange(sentAt hickorymodel.Instant, beacon hickorymessage.Beacon) {
	f.confirm(sentAt)
	f.RecordIndex(beacon)
	f.recordContact(beacon.Instance, sentAt)
	if beacon.ReadAgeMillis >= 0 && beacon.Reader != nil {
		f.setRead(sentAt.Add(-time.Duration(beacon.ReadAgeMillis)*time.Millisecond), *beacon.Reader)
	}
}

// RecordIndex records the highest index that a peer has seen.
func (f *Freshness) RecordIndex(beacon hickorymessage.Beacon) {
	f.readIndex = max(f.readIndex, beacon.ReadIndex)
}

// RecordContactAges records the ages of the members' contacts that a peer sent.
// They are ignored when the peer has a different list of members.
func (f *Freshness) RecordContactAges(sentAt hickorymodel.Instant, listHash, heard string) {
	if listHash != f.membersHash || len(heard) != len(f.members) {
		return
	}
	for i, id := range f.members {
		if heard[i] != noContact {
			f.recordContact(id, sentAt.Add(-time.Duration(heard[i]-'A')*contactAgeStep))
		}
	}
}

// Heard returns the ages of the members' contacts, encoded for DigestReply.Heard:
// one letter for each member, from A to Z in steps of contactAgeStep, or noContact.
func (f *Freshness) Heard(now hickorymodel.Instant) string {
	text := make([]byte, len(f.members))
	for i, id := range f.members {
		text[i] = f.encodeContactAge(now, id)
	}
	return string(text)
}

// encodeContactAge rounds ages up, since contact times are lower bounds.
func (f *Freshness) encodeContactAge(now hickorymodel.Instant, id hickoryid.InstanceID) byte {
	if id == f.self {
		return 'A'
	}
	at, ok := f.lastContact[id]
	if !ok {
		return noContact
	}
	steps := (now.Sub(at) + contactAgeStep - 1) / contactAgeStep
	if steps > 'Z'-'A' {
		return noContact
	}
	return 'A' + byte(steps)
}

// Until returns the time until which the balancer is fresh; 0 when it is not. It
// counts from the newest known read, or from the newest contact with a majority of
// the region when that read is older than FreshWindow.
func (f *Freshness) Until(now hickorymodel.Instant) hickorymodel.Instant {
	if f.switchedOff.has(RuleFreshWindow) {
		return now.Add(FreshWindow)
	}
	if !f.confirmed {
		return 0
	}
	newest := f.readAt
	if now.Sub(newest) >= FreshWindow || newest == 0 {
		newest = f.majorityContactAt(now)
	}
	if newest == 0 {
		return 0
	}
	return newest.Add(FreshWindow)
}

// Fresh reports whether the balancer may forward packets.
func (f *Freshness) Fresh(now hickorymodel.Instant) bool {
	return now.Before(f.Until(now))
}

// ReadAge returns the age of the newest known read in milliseconds, as messages
// carry it; -1 when no read is known. It is rounded up, and at least 1, since 0
// would be left out of the message.
func (f *Freshness) ReadAge(now hickorymodel.Instant) int {
	if f.readAt == 0 {
		return -1
	}
	return int(now.Sub(f.readAt)/time.Millisecond) + 1
}

// majorityContactAt returns the newest time since which more than half of the
// listed balancers of the region have been in contact; 0 when there is none.
func (f *Freshness) majorityContactAt(now hickorymodel.Instant) hickorymodel.Instant {
	times := make([]hickorymodel.Instant, 0, len(f.members))
	for _, id := range f.members {
		if id == f.self {
			times = append(times, now)
		} else if at, ok := f.lastContact[id]; ok {
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
	if startedAt >= f.resumedAt {
		f.confirmed = true
	}
}

func (f *Freshness) setRead(at hickorymodel.Instant, reader hickoryid.InstanceID) {
	if at > f.readAt {
		f.readAt, f.reader = at, reader
	}
}

func (f *Freshness) recordContact(id hickoryid.InstanceID, at hickorymodel.Instant) {
	if _, listed := slices.BinarySearch(f.members, id); listed && at > f.lastContact[id] {
		f.lastContact[id] = at
	}
}
