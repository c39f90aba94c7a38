package hickoryadmission

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

// Gate admits new flows to one upstream. It trusts only what the agent sees:
// an opening completes when the caller sends again after the upstream's answer.
type Gate struct {
	limits Limits
	// flows counts admitted flows that have not ended and that have shown life
	// since the upstream last fell to the cold limit.
	flows int
	// closing is the part of flows whose caller has closed the connection. The
	// upstream may still be sending, so they count for the limit, but their
	// number says nothing about the load to come.
	closing int
	// openings counts admitted flows that the upstream has not answered.
	openings int
	// openingLimit stays between coldOpenings and limits.fullOpenings().
	openingLimit int
	// ceiling is what health and load endpoints allow.
	ceiling ceiling
	// falls counts how often the upstream fell to the cold limit.
	falls uint32
	// completed counts openings that have completed since openingLimit last rose.
	completed int
	// lastRise is the time of the last change of openingLimit, or of the first
	// opening after a cold start; started says that there was one.
	lastRise hickorymodel.Instant
	started  bool
	// resting is true until restEnd after a timeout at the cold limit.
	resting bool
	restEnd hickorymodel.Instant
	// accepting is false while the upstream leaves.
	accepting bool
	// overload and balance hold the budgets of forwards.
	overload, balance budget
	probe             probe
}

// NewGate returns the gate of an upstream that is cold.
func NewGate(limits Limits) *Gate {
	return &Gate{
		limits:       limits,
		openingLimit: coldOpenings,
		ceiling:      newCeiling(),
		accepting:    true,
		overload:     budget{credit: forwardBurst},
		balance:      budget{credit: forwardBurst},
	}
}

// SetLimits applies changed figures.
func (g *Gate) SetLimits(limits Limits) {
	g.limits = limits
	g.openingLimit = min(g.openingLimit, limits.fullOpenings())
}

// SetAccepting says whether the upstream takes new flows at all.
func (g *Gate) SetAccepting(accepting bool) {
	g.accepting = accepting
}

// limit is the number of openings that the upstream may have now.
func (g *Gate) limit() int {
	return min(g.openingLimit, g.ceiling.limit(g.limits.fullOpenings()))
}

// TryOpen admits one flow and reports whether the upstream can bear it.
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
	if !g.accepting || g.resting || g.probe.open {
		return false
	}
	return g.probe.due && g.openings == 0 || g.hasOrdinaryRoom()
}

// hasOrdinaryRoom reports whether one more flow stays within the limits.
func (g *Gate) hasOrdinaryRoom() bool {
	return g.openings < g.limit() && g.flows < g.flowLimit()
}

// flowLimit grows from the number of slots to the number of connections with
// the opening limit, since open flows of a cold upstream send requests too.
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

// Restore counts a flow that was admitted by a predecessor of this process.
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
	g.probe.alive(now)
	g.completed++
	g.ceiling.completed++
	g.Advance(now)
}

// Advance raises the limit when it is due. It must be called at times when no
// opening completes too: flows that stay open can fill the limit of a cold
// upstream, and then no further opening would raise it.
func (g *Gate) Advance(now hickorymodel.Instant) {
	if g.resting && !now.Before(g.restEnd) {
		g.resting = false
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

// provenLimit reports whether the upstream has shown that it bears the limit: it
// answered a limit's worth of openings, or it holds all flows that the limit
// admits and has answered all of them. Without the second case long-lived flows
// on an upstream with few connections would stop the rise.
func (g *Gate) provenLimit() bool {
	return g.completed >= g.openingLimit ||
		g.started && g.openings == 0 && g.flows >= g.flowLimit()
}

// riseInterval spreads the rises over the ramp time.
func (g *Gate) riseInterval() time.Duration {
	return g.limits.RampTime / time.Duration(g.limits.fullOpenings()-coldOpenings)
}

// TimeOut records that an opening was not answered in time. When no opening
// has completed since the last change, the upstream counts as cold.
func (g *Gate) TimeOut(now hickorymodel.Instant) {
	g.openings--
	if g.probe.open {
		g.probe.fail()
		return
	}
	g.lastRise = now
	g.ceiling.restart(now)
	if g.completed == 0 {
		g.fall()
		g.rest(now)
		return
	}
	g.completed = 0
	g.openingLimit = max(g.openingLimit/2, coldOpenings)
	if g.openingLimit == coldOpenings {
		g.rest(now)
	}
}

// rest admits nothing for one opening timeout, so that a collapsed upstream
// gets a time without any load in which it can recover. The interval to the
// next rise starts with the first opening after it.
func (g *Gate) rest(now hickorymodel.Instant) {
	g.resting = true
	g.started = false
	g.restEnd = now.Add(g.limits.OpeningTimeout)
}

// fall goes back to the cold limit. An upstream that has restarted has lost its
// flows without a packet to tell; those that it still has are counted again by
// Recount. Otherwise lost flows would fill the limit until they expire.
func (g *Gate) fall() {
	if g.openingLimit == coldOpenings {
		return
	}
	g.forgetFlows()
}

// forgetFlows starts cold with no counted flows.
func (g *Gate) forgetFlows() {
	g.openingLimit = coldOpenings
	g.falls++
	g.flows = 0
	g.closing = 0
}

// ColdResets returns how often the upstream fell to the cold limit. A flow counts
// from its admission, or Recount, until Close or the next fall.
func (g *Gate) ColdResets() uint32 {
	return g.falls
}

// Recount counts a flow again that has shown life since the last fall.
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

// CreditForwards credits the budgets for one first packet.
func (g *Gate) CreditForwards() {
	g.overload.earn(overloadShare)
	g.balance.earn(balanceShare)
}

// TryForward takes one forward of a flow that the own upstream can't take.
func (g *Gate) TryForward() bool {
	return g.overload.take()
}

// TryForwardToWarm takes one forward of a flow that the own upstream can't take
// because it is cold, to an upstream whose load shows that it is warm and has
// room. Such a service is not overloaded, so the larger budget applies. While
// all are cold it does not: 0.30 forwards for each first packet were measured.
func (g *Gate) TryForwardToWarm(target Load) bool {
	full := g.limits.fullOpenings()
	return g.limit() < full && target.Limit >= full && target.Accepting && g.balance.take()
}

// TryBalance takes one forward to a less loaded upstream. There is none while
// the own upstream has no room, since others are then likely to have none, and
// none before it has been warm, since a service that starts cold as a whole is
// overloaded until it is warm.
func (g *Gate) TryBalance() bool {
	return g.HasRoom() && g.openingLimit == g.limits.fullOpenings() && g.balance.take()
}

// Load is what other agents are told of the upstream.
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
