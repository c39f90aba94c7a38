package hickorymember

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Verb is the kind of an Action.
type Verb uint8

// Verbs of actions.
const (
	// VerbProbe sends the probe with number Sequence to Target from the source port
	// of the data. The data are the packets of flows that the balancer sends to Target.
	VerbProbe Verb = iota
	// VerbProbeNewPort sends the probe with number Sequence to Target from a source
	// port that is not used for anything else; repeated probes share the port.
	VerbProbeNewPort
	// VerbKeepNewPort sends the data for Target from the new source port from now on.
	VerbKeepNewPort
	// VerbDropNewPort closes the new source port for Target.
	VerbDropNewPort
	// VerbSendViews sends Views to the balancer Peer.
	VerbSendViews
	// VerbEject replaces the set of ejected upstreams with Ejected.
	VerbEject
	// VerbLog logs LogEvent.
	VerbLog
)

// Action is one effect that the caller carries out. Verb says which of the other
// fields are set.
type Action struct {
	Verb     Verb
	Target   hickorymodel.Endpoint
	Sequence int
	Peer     Balancer
	Views    []View
	// Ejected is sorted and complete.
	Ejected  []hickoryid.UpstreamID
	LogEvent LogEvent
}

// EventKind is the kind of a LogEvent.
type EventKind uint8

// Kinds of log events.
const (
	// EventSuspected means that an upstream answers neither on the source port of
	// the data nor on a new one.
	EventSuspected EventKind = iota
	// EventRefuted means that a suspected upstream answered.
	EventRefuted
	// EventPathMoved means that an upstream answers on a new source port only.
	EventPathMoved
	// EventIsolated means that so many targets leave probes unanswered at the same
	// time that this balancer itself is probably cut off. Its view names no suspects
	// until EventIsolationEnded.
	EventIsolated
	// EventIsolationEnded means that this balancer is no longer isolated, and its view
	// may name suspects again.
	EventIsolationEnded
	// EventPaused means that the process of this balancer did not run for a time.
	EventPaused
	// EventEjected means that an upstream gets no new flows from now on.
	EventEjected
	// EventReadmitted means that an upstream is no longer ejected.
	EventReadmitted
	// EventEjectionLimited means that a limit keeps an upstream from being ejected
	// although a quorum suspects it.
	EventEjectionLimited
)

// LogEvent is a change that is logged for operators.
type LogEvent struct {
	Kind EventKind
	// Upstream is empty for events that concern the balancer itself.
	Upstream hickoryid.UpstreamID
	// Missing is the number of targets whose last two or more probes timed out, and
	// Targets that of all targets. They are set for EventIsolated only.
	Missing int
	Targets int
}

func (d *Detector) addAction(action Action) {
	d.actions = append(d.actions, action)
}

func (d *Detector) logEvent(kind EventKind, upstream hickoryid.UpstreamID) {
	d.addAction(Action{Verb: VerbLog, LogEvent: LogEvent{Kind: kind, Upstream: upstream}})
}
