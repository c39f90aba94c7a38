package hickorymember

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Reply is an answer to a probe.
type Reply struct {
	Sequence  int
	Upstream  hickoryid.UpstreamID
	Accepting bool
}

// HandleReply takes an answer. The actions are valid until the next call.
func (d *Detector) HandleReply(now hickorymodel.Instant, reply Reply) []Action {
	d.actions = d.actions[:0]
	t, ok := d.targets[reply.Upstream]
	if !ok {
		return d.actions
	}
	probe, ok := t.take(reply.Sequence)
	if !ok {
		return d.actions
	}
	t.accepting = reply.Accepting
	if probe.newPort {
		d.answeredNewPort(t)
	} else {
		d.answered(t)
	}
	d.updateDoubt()
	d.publish(now)
	return d.actions
}

// answered ends a suspicion, since the data's path works.
func (d *Detector) answered(t *target) {
	t.waiting = false
	t.misses = 0
	d.dropNewPort(t)
	d.refute(t)
}

// answeredNewPort moves the data to the new source port: the host is alive, and
// only the path that the data used has gone silent.
func (d *Detector) answeredNewPort(t *target) {
	if !t.newPort {
		return
	}
	t.waiting = false
	t.misses = 0
	t.newPort = false
	d.act(Action{Verb: VerbKeepNewPort, Target: t.endpoint})
	d.report(EventPathMoved, t.upstream)
	d.refute(t)
}

func (d *Detector) refute(t *target) {
	if t.phase == phaseSuspected {
		d.report(EventRefuted, t.upstream)
	}
	t.phase = phaseWatched
}

// tickTarget does what is due for one target.
func (d *Detector) tickTarget(now hickorymodel.Instant, t *target) {
	if t.waiting && now.Sub(t.sentAt) >= probeTimeout {
		t.waiting = false
		t.misses++
	}
	if t.phase == phaseWatched && t.misses >= missLimit {
		t.phase = phaseConfirming
		t.tries = 0
		t.confirmAt = now
	}
	if t.phase == phaseConfirming {
		d.confirm(now, t)
	}
	if !now.Before(t.nextAt) {
		d.probe(now, t)
	}
}

// confirm tries the new source port, and suspects the target when it fails too.
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
	d.report(EventSuspected, t.upstream)
}

// probe sends the regular probe. A suspected target is also tried from a new
// source port, so that it is found when it returns while the old path is silent.
func (d *Detector) probe(now hickorymodel.Instant, t *target) {
	t.nextAt = now.Add(probeInterval + d.jitter(probeJitter) - probeJitter/2)
	t.waiting = true
	t.sentAt = now
	sequence := d.nextProbe()
	t.remember(sentProbe{sequence: sequence})
	d.act(Action{Verb: VerbProbe, Target: t.endpoint, Sequence: sequence})
	if t.phase == phaseSuspected {
		d.dropNewPort(t)
		d.probeNewPort(now, t)
	}
}

func (d *Detector) probeNewPort(now hickorymodel.Instant, t *target) {
	t.tries++
	t.confirmAt = now.Add(confirmInterval)
	t.newPort = true
	sequence := d.nextProbe()
	t.remember(sentProbe{sequence: sequence, newPort: true})
	d.act(Action{Verb: VerbProbeNewPort, Target: t.endpoint, Sequence: sequence})
}

func (d *Detector) dropNewPort(t *target) {
	if !t.newPort {
		return
	}
	t.newPort = false
	d.act(Action{Verb: VerbDropNewPort, Target: t.endpoint})
}

func (d *Detector) nextProbe() int {
	d.lastProbe++
	return d.lastProbe
}

func (d *Detector) jitter(span time.Duration) time.Duration {
	return time.Duration(d.random.Int64N(int64(span)))
}

// forgetPause discards what was waited for while the own process did not run:
// the answers may be lost in full buffers. Misses from before the pause stay.
func (d *Detector) forgetPause(now hickorymodel.Instant) {
	for _, t := range d.ordered {
		t.waiting = false
		t.nextAt = now.Add(d.jitter(probeInterval))
		if t.phase == phaseConfirming {
			t.tries = 0
			t.confirmAt = now
		}
	}
	d.report(EventPaused, "")
}
