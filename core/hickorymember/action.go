package hickorymember

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// Verb says what to do with an action.
type Verb uint8

// Verbs of actions.
const (
	// VerbProbe sends the probe Sequence to Target, on the path that carries the data.
	VerbProbe Verb = iota
	// VerbProbeNewPort sends the probe Sequence to Target from a source port
	// that is not used for anything else; repeated probes share the port.
	VerbProbeNewPort
	// VerbKeepNewPort moves the data for Target to the new source port.
	VerbKeepNewPort
	// VerbDropNewPort closes the new source port for Target.
	VerbDropNewPort
	// VerbSendViews sends Views to the balancer Peer.
	VerbSendViews
	// VerbEject replaces the set of ejected upstreams by Ejected.
	VerbEject
	// VerbLog logs Report.
	VerbLog
)

// Action is one effect that a decision asks for.
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

// EventKind says what a report is about.
type EventKind uint8

// Kinds of reports.
const (
	// EventSuspected says that an upstream answers neither port.
	EventSuspected EventKind = iota
	// EventRefuted says that a suspected upstream answered.
	EventRefuted
	// EventPathMoved says that an upstream answers a new source port only.
	EventPathMoved
	// EventIsolated says that too many targets miss at once to trust the own view.
	EventIsolated
	// EventIsolationEnded says that the own view counts again.
	EventIsolationEnded
	// EventPaused says that the own process did not run for a time.
	EventPaused
	// EventEjected says that an upstream takes no new flows from now on.
	EventEjected
	// EventReadmitted says that an upstream is no longer ejected.
	EventReadmitted
	// EventEjectionLimited says that an upstream stays although a quorum suspects it.
	EventEjectionLimited
)

// LogEvent is something that operators may want to know.
type LogEvent struct {
	Kind EventKind
	// Upstream is empty for reports about the balancer itself.
	Upstream hickoryid.UpstreamID
	// Missing and Targets are set for EventIsolated.
	Missing int
	Targets int
}

func (d *Detector) act(action Action) {
	d.actions = append(d.actions, action)
}

func (d *Detector) report(kind EventKind, upstream hickoryid.UpstreamID) {
	d.act(Action{Verb: VerbLog, LogEvent: LogEvent{Kind: kind, Upstream: upstream}})
}
