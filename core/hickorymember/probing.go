package hickorymember

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Reply is an answer to a probe. Accepting is true when the upstream accepts new
// flows.
type Reply struct {
	Sequence  int
	Upstream  hickoryid.UpstreamID
	Accepting bool
}

// HandleReply handles the answer to a probe. The actions are valid until the next call.
func (d *Detector) HandleReply(now hickorymodel.Instant, reply Reply) []Action {
	d.actions = d.actions[:0]
	t, ok := d.targets[reply.Upstream]
	if !ok {
		return d.actions
	}
	probe, ok := t.removeSent(reply.Sequence)
	if !ok {
		return d.actions
	}
	t.accepting = reply.Accepting
	if probe.newPort {
		d.handleNewPortReply(t)
	} else {
		d.handleDataReply(t)
	}
	d.updateIsolated()
	d.publishOwnView(now)
	return d.actions
}

// handleDataReply ends a suspicion: the source port of the data gets answers.
func (d *Detector) handleDataReply(t *target) {
	t.awaitingReply = false
	t.misses = 0
	d.dropNewPort(t)
	d.refute(t)
}

// handleNewPortReply moves the data to the new source port: the host is alive,
// and only packets from the former source port get lost.
func (d *Detector) handleNewPortReply(t *target) {
	if !t.newPort {
		return
	}
	t.awaitingReply = false
	t.misses = 0
	t.newPort = false
	d.addAction(Action{Verb: VerbKeepNewPort, Target: t.endpoint})
	d.logEvent(EventPathMoved, t.upstream)
	d.refute(t)
}

func (d *Detector) refute(t *target) {
	if t.phase == phaseSuspected {
		d.logEvent(EventRefuted, t.upstream)
	}
	t.phase = phaseAlive
}

// tickTarget counts a miss when the last probe has timed out, and sends the
// probes to one target that are due.
func (d *Detector) tickTarget(now hickorymodel.Instant, t *target) {
	if t.awaitingReply && now.Sub(t.sentAt) >= probeTimeout {
		t.awaitingReply = false
		t.misses++
	}
	if t.phase == phaseAlive && t.misses >= missLimit {
		t.phase = phaseConfirming
		t.tries = 0
		t.confirmAt = now
	}
	if t.phase == phaseConfirming {
		d.confirm(now, t)
	}
	if !now.Before(t.nextProbeAt) {
		d.probe(now, t)
	}
}

// confirm probes from the new source port, and suspects the target when these
// probes get no answer either.
func (d *Detector) confirm(now hickorymodel.Instant, t *target) {
	if now.Before(t.confirmAt) {
		return
	}
	if t.tries < confirmTries {
		d.probeNewPort(now, t)
		return
	}
	t.phase = phaseSuspected
	d.dropNewPort(t)
	d.logEvent(EventSuspected, t.upstream)
}

// probe sends the regular probe. A suspected target is also probed from a new
// source port, so that its return is detected even when packets from the old port
// still get lost.
func (d *Detector) probe(now hickorymodel.Instant, t *target) {
	t.nextProbeAt = now.Add(probeInterval + d.jitter(probeJitter) - probeJitter/2)
	t.awaitingReply = true
	t.sentAt = now
	sequence := d.nextProbeSequence()
	t.recordSent(sentProbe{sequence: sequence})
	d.addAction(Action{Verb: VerbProbe, Target: t.endpoint, Sequence: sequence})
	if t.phase == phaseSuspected {
		d.dropNewPort(t)
		d.probeNewPort(now, t)
	}
}

func (d *Detector) probeNewPort(now hickorymodel.Instant, t *target) {
	t.tries++
	t.confirmAt = now.Add(confirmInterval)
	t.newPort = true
	sequence := d.nextProbeSequence()
	t.recordSent(sentProbe{sequence: sequence, newPort: true})
	d.addAction(Action{Verb: VerbProbeNewPort, Target: t.endpoint, Sequence: sequence})
}

func (d *Detector) dropNewPort(t *target) {
	if !t.newPort {
		return
	}
	t.newPort = false
	d.addAction(Action{Verb: VerbDropNewPort, Target: t.endpoint})
}

func (d *Detector) nextProbeSequence() int {
	d.lastProbeSequence++
	return d.lastProbeSequence
}

// jitter returns a random duration of at least 0 and less than span.
func (d *Detector) jitter(span time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(span)))
}

// resetAfterPause stops waiting for the probes that were unanswered when the process
// of this balancer was paused: their answers may be lost in full buffers. Misses
// counted before the pause stay.
func (d *Detector) resetAfterPause(now hickorymodel.Instant) {
	for _, t := range d.ordered {
		t.awaitingReply = false
		t.nextProbeAt = now.Add(d.jitter(probeInterval))
		if t.phase == phaseConfirming {
			t.tries = 0
			t.confirmAt = now
		}
	}
	d.logEvent(EventPaused, "")
}
