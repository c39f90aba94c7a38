package hickoryconfig

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Verb is the kind of an Action.
type Verb uint8

// Verbs of actions.
const (
	// VerbRead reads or watches the configuration service.
	VerbRead Verb = iota
	// VerbExchange sends Digest to Peer.
	VerbExchange
	// VerbPull sends Pull to Peer.
	VerbPull
	// VerbPush sends Push to Peer.
	VerbPush
	// VerbFollow sends Follow to Peer.
	VerbFollow
	// VerbApply replaces the services in force by Services.
	VerbApply
	// VerbLog writes LogEntry to the log.
	VerbLog
)

// Action is a step that Node or Follower asks its caller to carry out. Verb says
// which of the other fields are set.
type Action struct {
	Verb     Verb
	Peer     hickoryid.Endpoint
	Read     Read
	Digest   *hickorymessage.DigestRequest
	Pull     *hickorymessage.PullRequest
	Push     *hickorymessage.PushRequest
	Follow   *hickorymessage.FollowRequest
	Services []hickorymodel.Service
	LogEntry LogEntry
}

// Read is one call of the configuration service.
type Read struct {
	// After is the index of the configuration service up to which values have been
	// read; the answer has the later ones.
	After int
	// Wait is how long the configuration service may delay its answer until a
	// value changes; 0 asks for an answer at once.
	Wait time.Duration
}

// LogKind is the kind of a LogEntry.
type LogKind uint8

// Kinds of log entries: a version of a section was accepted or rejected, a service
// or an address was refused, the instance became fresh or stale, or a balancer
// entered service.
const (
	LogAccepted LogKind = iota
	LogRejected
	LogRefused
	LogFresh
	LogStale
	LogInService
)

// LogEntry describes a decision for the operators' log.
type LogEntry struct {
	Kind     LogKind
	Team     hickoryid.TeamName
	Version  hickoryid.SectionVersion
	Problems []Problem
	// Content is the content of a rejected version, in which the lines of the
	// problems are found.
	Content string
	Refusal Refusal
}
