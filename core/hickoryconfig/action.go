package hickoryconfig

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// Verb says what to do with an action.
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
	// VerbApply puts Services in force.
	VerbApply
	// VerbLog writes Report to the log.
	VerbLog
)

// Action is one effect that a decision asks for.
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
	// After is the index after which changes are wanted.
	After int
	// Wait is how long the service may hold the call; 0 for a plain read.
	Wait time.Duration
}

// LogKind says what a report tells.
type LogKind uint8

// Kinds of reports.
const (
	LogAccepted LogKind = iota
	LogRejected
	LogRefused
	LogFresh
	LogStale
	LogInService
)

// LogEntry tells operators of a decision.
type LogEntry struct {
	Kind     LogKind
	Team     hickoryid.TeamName
	Version  hickoryid.SectionVersion
	Problems []Problem
	// Content is that of a rejected version, to find the lines of the problems.
	Content string
	Refusal Refusal
}
