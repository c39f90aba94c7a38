package hickorymember

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	probeInterval = time.Second
	// probeJitter spreads the probes of all balancers over time. Each interval is
	// drawn from probeInterval - probeJitter/2 to probeInterval + probeJitter/2, so
	// probeInterval is the mean.
	probeJitter = 200 * time.Millisecond
	// probeTimeout is how long a probe may stay unanswered before it counts as a
	// miss. A round trip between zones takes 10 ms.
	probeTimeout = 500 * time.Millisecond
	// missLimit is the number of misses in a row that start the confirmation of a
	// suspicion.
	missLimit = 3
	// confirmTries is the number of probes from the new source port, sent
	// confirmInterval apart, before a target is suspected. A single one led to 0.39
	// false ejections per host and hour at a packet loss of 20% in each direction.
	confirmTries    = 3
	confirmInterval = 250 * time.Millisecond
	// maxSentProbes is the number of probes stored for each target, the last ones
	// sent. An answer to one of them counts even after probeTimeout.
	maxSentProbes = 8
)

// phase is the stage of a target between alive and suspected.
type phase uint8

const (
	// phaseAlive is the normal state; fewer than missLimit probes in a row are
	// unanswered.
	phaseAlive phase = iota
	// phaseConfirming means that probes go out from a new source port too.
	phaseConfirming
	// phaseSuspected means that neither source port gets an answer.
	phaseSuspected
)

// target is one upstream that this balancer observes.
type target struct {
	upstream hickoryid.UpstreamID
	endpoint hickorymodel.Endpoint
	phase    phase
	// misses counts the probes in a row from the source port of the data that
	// timed out.
	misses int
	// awaitingReply is true while the last probe from the source port of the data,
	// sent at sentAt, is unanswered and has not timed out.
	awaitingReply bool
	sentAt        hickorymodel.Instant
	nextProbeAt   hickorymodel.Instant
	// tries counts the probes from the new source port; at confirmAt the next one
	// is due.
	tries     int
	confirmAt hickorymodel.Instant
	// newPort is true while a new source port is open.
	newPort bool
	// sent is a ring buffer of the last probes; nextSlot is the index that the
	// next one overwrites.
	sent     [maxSentProbes]sentProbe
	nextSlot int
	// accepting is the value of Accepting in the last answer.
	accepting bool
}

// sentProbe is one probe that may still be answered; sequence 0 marks an unused
// slot.
type sentProbe struct {
	sequence int
	newPort  bool
}

func (t *target) recordSent(probe sentProbe) {
	t.sent[t.nextSlot] = probe
	t.nextSlot = (t.nextSlot + 1) % len(t.sent)
}

// removeSent returns the probe with a sequence and removes it, so that a second
// answer to it has no effect.
func (t *target) removeSent(sequence int) (sentProbe, bool) {
	for i := range t.sent {
		if probe := t.sent[i]; probe.sequence == sequence && sequence != 0 {
			t.sent[i] = sentProbe{}
			return probe, true
		}
	}
	return sentProbe{}, false
}

// missing reports whether the target counts towards isolatedPercent. Two misses
// are enough: when an observer is cut off, all of its targets have missed twice
// before the first of them is confirmed as suspected.
func (t *target) missing() bool {
	return t.misses >= missLimit-1
}
