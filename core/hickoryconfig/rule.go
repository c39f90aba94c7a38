package hickoryconfig

// Rule is a set of rules that a test can switch off to show that its check
// fails without them. Programs leave all rules on.
type Rule uint16

// Rules.
const (
	// RuleRisingVersions: a section is replaced only by a higher version.
	RuleRisingVersions Rule = 1 << iota
	// RuleChecks: a section that fails the checks is rejected.
	RuleChecks
	// RuleAnnouncedZones: zones that a newer version takes out of service are out of
	// service as soon as its header is known, before its content arrives.
	RuleAnnouncedZones
	// RuleStartup: a process that is starting puts nothing in force before it has
	// merged the digests of its peers.
	RuleStartup
	// RuleFreshWindow: confirmations older than FreshWindow do not count.
	RuleFreshWindow
	// RulePause: after a pause an exchange or a read must complete before packets
	// are forwarded.
	RulePause
	// RuleStaleReads: an answer of the configuration service with an index lower
	// than one known already confirms nothing.
	RuleStaleReads
	// RuleTakeover: other balancers read when the readers have stopped reading.
	RuleTakeover
	// RuleReadLimit: reads of one instance are limited and jittered.
	RuleReadLimit
	// RuleExchange: digests are exchanged, so that versions of lost pushes arrive.
	RuleExchange
	// RuleMarkRelay: marks of leaving upstreams are applied from messages of peers.
	RuleMarkRelay
	// RuleRevokeDelay: a mark is revoked only after MarkRevokeDelay.
	RuleRevokeDelay
	// RuleRevokeMarks: a mark that the list no longer shows is revoked.
	RuleRevokeMarks
	// RuleNearBalancers: replies to agents name balancers of their zone.
	RuleNearBalancers
)

func (r Rule) has(rule Rule) bool {
	return r&rule != 0
}
