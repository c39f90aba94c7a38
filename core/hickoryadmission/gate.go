package hickoryadmission

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

// Gate is the admission control of one upstream: it limits the openings and the
// flows. It raises its limits only by what the agent observes itself: an
// opening completes when the caller sends again after the upstream's answer.
type Gate struct {
	limits Limits
	// flows counts admitted flows that have not ended and that have had a
	// packet since the last cold reset.
	flows int
	// closing is the number of flows whose caller has closed the connection. The
	// upstream may still be sending, so they count for the limit, but they are
	// left out of Load, since their number does not predict the load to come.
	closing int
	// openings counts admitted flows that the upstream has not answered.
	openings int
	// openingLimit stays between coldOpenings and limits.fullOpenings().
	openingLimit int
	// ceiling is the limit that health and load endpoints allow.
	ceiling ceiling
	// coldResets counts how often the gate went back to the cold limit.
	coldResets uint32
	// completed counts openings that have completed since openingLimit last rose.
	completed int
	// lastRise is the time of the last change of openingLimit, or of the first
	// opening after a cold start or a backoff; started is true after that
	// opening.
	lastRise hickorymodel.Instant
	started  bool
	// backingOff is true until backoffEnd after a timeout at the cold limit.
	backingOff bool
	backoffEnd hickorymodel.Instant
	// accepting is false while the upstream takes no new flows.
	accepting bool
	// overload and balance are the budgets of forwards.
	overload, balance budget
	probe             probe
}

// NewGate returns the gate of a cold upstream.
func NewGate(limits Limits) *Gate {
	return &Gate{
		limits:       limits,
		openingLimit: coldOpenings,
		ceiling:      newCeiling(),
		accepting:    true,
		overload:     budget{tokens: forwardBurst},
		balance:      budget{tokens: forwardBurst},
	}
}

// SetLimits applies changed limits.
func (g *Gate) SetLimits(limits Limits) {
	g.limits = limits
	g.openingLimit = min(g.openingLimit, limits.fullOpenings())
}

// SetAccepting sets whether the upstream takes new flows at all.
func (g *Gate) SetAccepting(accepting bool) {
	g.accepting = accepting
}

// limit returns the number of openings that the upstream may have now.
func (g *Gate) limit() int {
	return min(g.openingLimit, g.ceiling.limit(g.limits.fullOpenings()))
}

// TryOpen admits one flow and reports whether there was room for it.
func (g *Gate) TryOpen(now hickorymodel.Instant) bool {
	if !g.HasRoom() {
		return false
	}
	if !g.started {
		g.started = true
		g.lastRise = now
	}
	if !g.hasOrdinaryRoom() {
		g.probe.start(now)
	}
	g.flows++
	g.openings++
	return true
}

// HasRoom reports whether TryOpen would admit a flow.
func (g *Gate) HasRoom() bool {
	if !g.accepting || g.backingOff || g.probe.open {
		return false
	}
	return g.probe.due && g.openings == 0 || g.hasOrdinaryRoom()
}

// hasOrdinaryRoom reports whether one more flow stays within the limits.
func (g *Gate) hasOrdinaryRoom() bool {
	return g.openings < g.limit() && g.flows < g.flowLimit()
}

// flowLimit grows with the opening limit, from the number of slots to the
// number of connections, since open flows of a cold upstream send requests too.
func (g *Gate) flowLimit() int {
	return g.flowLimitAt(g.limit())
}

func (g *Gate) flowLimitAt(limit int) int {
	cold := int(g.limits.Slots)
	full := int(g.limits.Connections)
	if full <= cold {
		return full
	}
	span := g.limits.fullOpenings() - coldOpenings
	return cold + (full-cold)*(limit-coldOpenings)/span
}

// Restore counts a flow that was admitted by a predecessor of this process or
// before its record lapsed.
func (g *Gate) Restore() {
	g.flows++
}

// Complete records that the upstream answered an opening.
func (g *Gate) Complete(now hickorymodel.Instant) {
	g.openings--
	if g.probe.open {
		g.completeProbe(now)
		return
	}
	g.probe.recordActivity(now)
	g.completed++
	g.ceiling.completed++
	g.Advance(now)
}

// Advance raises the limit when it is due. It must also be called when no
// opening completes: flows that stay open can fill the limit of a cold
// upstream, and then no further opening would raise it.
func (g *Gate) Advance(now hickorymodel.Instant) {
	if g.backingOff && !now.Before(g.backoffEnd) {
		g.backingOff = false
	}
	g.advanceProbe(now)
	g.advanceCeiling(now)
	if g.lowered() || !g.provenLimit() || now.Sub(g.lastRise) < g.riseInterval() {
		return
	}
	g.completed = 0
	g.lastRise = now
	g.openingLimit = min(g.openingLimit+1, g.limits.fullOpenings())
}

// provenLimit reports whether the upstream has handled the limit: it answered
// as many openings as the limit, or all flows that the limit admits are open
// and answered. Without the second case long-lived flows on an upstream with
// few connections would stop the rise.
func (g *Gate) provenLimit() bool {
	return g.completed >= g.openingLimit ||
		g.started && g.openings == 0 && g.flows >= g.flowLimit()
}

// riseInterval returns the time between two rises of the limit, which spreads
// the rises over the ramp time.
func (g *Gate) riseInterval() time.Duration {
	return g.limits.RampTime / time.Duration(g.limits.fullOpenings()-coldOpenings)
}

// TimeOut records that an opening was not answered in time. It halves the
// limit, or goes back to the cold limit if no opening has completed since the
// last change. At the cold limit it starts a backoff.
func (g *Gate) TimeOut(now hickorymodel.Instant) {
	g.openings--
	if g.probe.open {
		g.probe.fail()
		return
	}
	g.lastRise = now
	g.ceiling.clearExtraOpenings(now)
	if g.completed == 0 {
		g.resetIfAboveCold()
		g.startBackoff(now)
		return
	}
	g.completed = 0
	g.openingLimit = max(g.openingLimit/2, coldOpenings)
	if g.openingLimit == coldOpenings {
		g.startBackoff(now)
	}
}

// startBackoff stops admission for one opening timeout, so that a collapsed
// upstream has a time without any load in which it can recover. The interval to
// the next rise starts with the first opening after it.
func (g *Gate) startBackoff(now hickorymodel.Instant) {
	g.backingOff = true
	g.started = false
	g.backoffEnd = now.Add(g.limits.OpeningTimeout)
}

// resetIfAboveCold goes back to the cold limit and counts no flow any more,
// unless the limit is the cold one already. An upstream that has restarted has
// lost its flows without any message about them, and lost flows would fill the
// limit until they expire. Flows that the upstream still has are counted again
// by Recount.
func (g *Gate) resetIfAboveCold() {
	if g.openingLimit == coldOpenings {
		return
	}
	g.resetToCold()
}

// resetToCold sets the cold limit and the count of flows to 0.
func (g *Gate) resetToCold() {
	g.openingLimit = coldOpenings
	g.coldResets++
	g.flows = 0
	g.closing = 0
}

// ColdResets returns how often the gate went back to the cold limit. A flow
// counts from its admission, or Recount, until Close or the next cold reset.
func (g *Gate) ColdResets() uint32 {
	return g.coldResets
}

// Recount counts a flow again that has had a packet since the last cold reset.
func (g *Gate) Recount() {
	g.flows++
}

// BeginClose records that the caller of a counted flow closes it.
func (g *Gate) BeginClose() {
	g.closing++
}

// AbortOpening records that a flow ended before the upstream answered.
func (g *Gate) AbortOpening() {
	g.openings--
	g.probe.open = false
}

// Close records that a counted flow has ended.
func (g *Gate) Close() {
	g.flows--
}

// EndClose records that a counted flow has ended after BeginClose.
func (g *Gate) EndClose() {
	g.closing--
	g.flows--
}

// CreditForwards adds the share of one first packet to the budgets of forwards.
func (g *Gate) CreditForwards() {
	g.overload.refill(overloadShare)
	g.balance.refill(balanceShare)
}

// TryForward takes one forward from the budget for flows that the agent's own
// upstream cannot take, and reports whether there was one.
func (g *Gate) TryForward() bool {
	return g.overload.take()
}

// TryForwardToWarm takes one forward of a flow that the agent's own upstream
// cannot take because it is cold, to an upstream whose load shows that it is
// warm and has room. Such a service is not overloaded, so the larger balance
// budget applies. It does not apply while all upstreams are cold, which would
// cause 0.30 forwards for each first packet.
func (g *Gate) TryForwardToWarm(target Load) bool {
	full := g.limits.fullOpenings()
	return g.limit() < full && target.Limit >= full && target.Accepting && g.balance.take()
}

// TryBalance takes one forward to a less loaded upstream. It refuses while the
// agent's own upstream has no room, since other upstreams are then likely to
// have none, and until that upstream is warm, since a service that starts cold
// as a whole is overloaded until it is warm.
func (g *Gate) TryBalance() bool {
	return g.HasRoom() && g.openingLimit == g.limits.fullOpenings() && g.balance.take()
}

// Load is the load of an upstream, as other agents receive it in load notices.
type Load struct {
	// Flows does not count flows that are closing.
	Flows     int
	Openings  int
	Limit     int
	Accepting bool
}

// Load returns the upstream's load now.
func (g *Gate) Load() Load {
	return Load{
		Flows:     g.flows - g.closing,
		Openings:  g.openings,
		Limit:     g.limit(),
		Accepting: g.HasRoom(),
	}
}
