package hickorychoice

import (
	"math/rand/v2"
	"time"
)

const (
	// FirstRanks is the number of candidates of the own zone with the highest ranks that
	// get a flow before others, so that a search for its owner asks few agents.
	FirstRanks = 3
	// rankMargin is how much longer the first ranks may take than the best candidate of
	// the zone, in service times.
	rankMargin = 1.5
	// remoteMargin is how much a candidate of another zone must gain beyond its round trip, in
	// service times, while the own zone meets the target latency. Answers that cross
	// zones cost the customer bytes between zones.
	remoteMargin = 0.4
	// tailFactor is how many service times a request may take that counts as one which
	// meets its target latency: a few in a hundred take several times the mean.
	tailFactor = 4
	// tieShare bounds the random part of a score, in service times.
	tieShare = 0.02
	// NoLimit is the MaxWait of a request that the chosen upstream is to take in any
	// case.
	NoLimit = time.Duration(1<<63 - 1)
)

// Rule is the rule that decided a choice.
type Rule uint8

// Rules.
const (
	RuleNone Rule = iota
	// RuleRank chooses one of the first ranks.
	RuleRank
	// RuleZone chooses the best candidate of the own zone, because the first ranks would
	// take longer by more than rankMargin.
	RuleZone
	// RuleRemote chooses a candidate of another zone.
	RuleRemote
	// RuleReturned chooses among the agents that have returned the packet.
	RuleReturned
	// RuleCount chooses by the number of unanswered requests.
	RuleCount
)

var ruleNames = [...]string{"none", "rank", "zone", "remote", "returned", "count"}

// String returns the name for logs and metrics.
func (r Rule) String() string {
	if int(r) < len(ruleNames) {
		return ruleNames[r]
	}
	return ruleNames[RuleNone]
}

// Request is what the choice depends on besides the candidates.
type Request struct {
	// TargetLatency is the time within which the request is to be answered, and Age the
	// time since the caller began to wait.
	TargetLatency time.Duration
	Age           time.Duration
	// Limited is true while another agent may be asked if the chosen one has no room.
	Limited bool
}

// Decision is the result of a choice.
type Decision struct {
	// Index is what the caller passed with the chosen candidate; -1 if there was none.
	Index int
	Rule  Rule
	// Completion is the expected time until the first request of the flow is answered.
	Completion time.Duration
	// MaxWait is the longest wait for a slot with which the upstream is to take the flow:
	// with a longer one, asking the next candidate is expected to gain time.
	MaxWait time.Duration
	// Age is the age of the figures of the chosen candidate; 0 if it has none.
	Age time.Duration
}

// option is a candidate with its expectation.
type option struct {
	index int
	// completion, score and fixed are those of the expectation.
	completion float64
	score      float64
	fixed      float64
	age        time.Duration
	rank       uint64
	roundTrip  time.Duration
	// meets is true if the request probably meets its target latency there.
	meets bool
}

// before reports whether an option is better than another one: candidates that meet the
// target latency first, then by score.
func (o *option) before(other *option) bool {
	if other == nil || other.index < 0 {
		return true
	}
	if o.meets != other.meets {
		return o.meets
	}
	return o.score < other.score
}

// Selection finds the best of the candidates that are passed to Consider after Begin. It
// needs no memory besides itself.
type Selection struct {
	service *Service
	request Request
	// random breaks ties; nil leaves them to the order of the candidates.
	random *rand.Rand
	// ranked has the local candidates with the highest ranks, highest first.
	ranked      [FirstRanks]option
	rankedCount int
	// local and remote are the two best candidates of the own zone and of others.
	local  [2]option
	remote [2]option
}

// Begin makes the selection one without candidates.
func (s *Selection) Begin(service *Service, request Request, random *rand.Rand) {
	s.service, s.request, s.random = service, request, random
	s.rankedCount = 0
	for i := range s.local {
		s.local[i].index = -1
		s.remote[i].index = -1
	}
}

// Consider adds a candidate; index identifies it in the result.
func (s *Selection) Consider(index int, c *Candidate) {
	e := s.service.expect(c)
	o := option{index: index, completion: e.completion, score: e.score, fixed: e.fixed, rank: c.Rank, roundTrip: c.RoundTrip}
	if c.Known {
		o.age = c.Figures.Age
	}
	if s.random != nil {
		o.score += tieShare * s.service.serviceTime * s.random.Float64()
	}
	slow := o.completion + (tailFactor-1)*e.serviceTime
	o.meets = inSeconds(s.request.Age)+slow <= inSeconds(s.request.TargetLatency)
	if !c.Local {
		keepBest(&s.remote, &o)
		return
	}
	keepBest(&s.local, &o)
	s.addRanked(&o)
}

// keepBest keeps the two best options in order.
func keepBest(best *[2]option, o *option) {
	switch {
	case o.before(&best[0]):
		best[1] = best[0]
		best[0] = *o
	case o.before(&best[1]):
		best[1] = *o
	}
}

func (s *Selection) addRanked(o *option) {
	i := s.rankedCount
	if i == FirstRanks {
		if o.rank <= s.ranked[FirstRanks-1].rank {
			return
		}
		i--
	} else {
		s.rankedCount++
	}
	for ; i > 0 && o.rank > s.ranked[i-1].rank; i-- {
		s.ranked[i] = s.ranked[i-1]
	}
	s.ranked[i] = *o
}

// Decide returns the best of the candidates.
func (s *Selection) Decide() Decision {
	chosen, rule := s.choose()
	if chosen.index < 0 {
		return Decision{Index: -1}
	}
	d := Decision{Index: chosen.index, Rule: rule, Completion: fromSeconds(chosen.completion), MaxWait: NoLimit, Age: chosen.age}
	if s.request.Limited {
		d.MaxWait = s.maxWait(chosen)
	}
	return d
}

// choose returns the best option; its index is -1 if there is none.
func (s *Selection) choose() (*option, Rule) {
	ranked := s.bestRanked(nil)
	local, remote := &s.local[0], &s.remote[0]
	margin := s.service.serviceTime
	switch {
	case remote.index >= 0 && (local.index < 0 || s.gains(remote, local)):
		return remote, RuleRemote
	case ranked != nil && ranked.meets == local.meets && ranked.score <= local.score+rankMargin*margin:
		return ranked, RuleRank
	default:
		return local, RuleZone
	}
}

// gains reports whether a candidate of another zone is better than the best one of the
// own zone by more than its round trip, which is part of its score.
func (s *Selection) gains(remote, local *option) bool {
	gain := local.score - remote.score
	if !local.meets {
		return gain > 0
	}
	return remote.meets && gain > remoteMargin*s.service.serviceTime
}

// bestRanked returns the best of the first ranks besides one, which may be nil; nil if
// there is none.
func (s *Selection) bestRanked(except *option) *option {
	var best *option
	for i := range s.ranked[:s.rankedCount] {
		o := &s.ranked[i]
		if (except == nil || o.index != except.index) && o.before(best) {
			best = o
		}
	}
	return best
}

// maxWait returns the wait up to which the chosen candidate is better than to ask the next
// one. Asking costs the round trip to the next one, and those to others until one has a
// free slot; a slower one needs longer even if it has.
func (s *Selection) maxWait(chosen *option) time.Duration {
	next := s.next(chosen)
	if next == nil {
		return NoLimit
	}
	gap := max(0, next.fixed-chosen.fixed)
	return fromSeconds(gap + s.service.askCost(next.roundTrip))
}

// next returns the best candidate besides the chosen one: of the first ranks, the own
// zone, or else another zone; nil if there is none.
func (s *Selection) next(chosen *option) *option {
	if best := s.bestRanked(chosen); best != nil {
		return best
	}
	for _, o := range [...]*option{&s.local[0], &s.local[1], &s.remote[0], &s.remote[1]} {
		if o.index >= 0 && o.index != chosen.index {
			return o
		}
	}
	return nil
}
