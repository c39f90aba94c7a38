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
	// RuleAnnouncedZones: zones that an announced version takes out of service
	// are out of service before its content arrives.
	RuleAnnouncedZones
	// RuleStartup: a starting process puts nothing in force before it has
	// merged the digests of its peers.
	RuleStartup
	// RuleFreshWindow: confirmations older than the window do not count.
	RuleFreshWindow
	// RulePause: after a pause one exchange must complete.
	RulePause
	// RuleStaleReads: an answer of the service with an index lower than one
	// known already confirms nothing.
	RuleStaleReads
	// RuleTakeover: others read when the readers fall silent.
	RuleTakeover
	// RuleReadLimit: reads of one instance are limited and jittered.
	RuleReadLimit
	// RuleExchange: digests are exchanged, so that lost pushes are made up for.
	RuleExchange
	// RuleMarkRelay: marks of leaving upstreams are taken from peers.
	RuleMarkRelay
	// RuleRevokeDelay: a mark is taken back only after HealTime.
	RuleRevokeDelay
	// RuleRevokeMarks: a mark that the list no longer shows is taken back.
	RuleRevokeMarks
	// RuleNearBalancers: agents learn balancers of their zone from balancers.
	RuleNearBalancers
)

func (r Rule) has(rule Rule) bool {
	return r&rule != 0
}
