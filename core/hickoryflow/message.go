package hickoryflow

import (
	"slices"
	"time"

	"hickoryworks/core/hickoryadmission"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// HandleDatagram handles a control message of another agent and ignores
// messages that do not concern flows. The actions are valid until the next
// call.
func (t *Tracker) HandleDatagram(now hickorymodel.Instant, from hickorymodel.Endpoint, d *hickorymessage.Datagram) []Action {
	t.begin(now)
	t.recordReceived(now, from)
	switch {
	case d.OwnerQuery != nil:
		t.answerQuery(now, from, d.OwnerQuery)
	case d.OwnerReply != nil:
		t.handleReply(now, from, d.OwnerReply)
	case d.RedirectEntry != nil:
		t.handleRedirects(now, d.RedirectEntry)
	case d.LoadNotice != nil && d.LoadNotice.Service == t.service.Number:
		t.peers.RecordLoad(now, from, loadFromMessage(d.LoadNotice.Load))
	default:
	}
	t.finish(now)
	return t.actions
}

// answerQuery replies with what this agent has stored about a flow. Of two
// agents that claim the same flow, the one with the lower endpoint continues
// and the other yields.
func (t *Tracker) answerQuery(now hickorymodel.Instant, from hickorymodel.Endpoint, query *hickorymessage.OwnerQuery) {
	key, err := hickorymodel.ParseFlowKey(query.Flow)
	if err != nil || query.Service != t.service.Number {
		return
	}
	reply := &hickorymessage.OwnerReply{
		Query:          query.Query,
		Status:         hickorymessage.OwnerStatusNone,
		Load:           LoadMessage(t.gate.Load()),
		TableAgeMillis: int(t.tableAge(now).Milliseconds()),
		Unheard:        t.unheard(now, query.Silent),
	}
	pending := t.claims.byKey[key]
	switch {
	case t.flows.find(&key) != nil:
		reply.Status = hickorymessage.OwnerStatusOwn
	case pending != nil && t.self.Compare(from) < 0:
		reply.Status = hickorymessage.OwnerStatusClaiming
	case pending != nil:
		t.yield(now, pending, from)
	default:
		if owner, ok := t.likelyOwner(now, key); ok && owner != from {
			id := owner.ID()
			reply.Owner = &id
			break
		}
		t.queriers.put(now, key, from)
		reply.AlsoAsk = t.formerOwners(now, &key)
	}
	t.send(from, &hickorymessage.Datagram{OwnerReply: reply})
}

// handleReply handles the reply of an agent to a query of a claim.
func (t *Tracker) handleReply(now hickorymodel.Instant, from hickorymodel.Endpoint, reply *hickorymessage.OwnerReply) {
	t.peers.RecordLoad(now, from, loadFromMessage(reply.Load))
	t.claims.clearUnanswered(from)
	pending := t.claims.byQuery[reply.Query]
	if pending == nil {
		return
	}
	if t.flows.find(&pending.key) != nil && reply.Status != hickorymessage.OwnerStatusOwn {
		t.handleCheckReply(now, pending, from, reply)
		return
	}
	owner, found := t.ownerIn(from, reply)
	if found && (owner == from || !pending.hasQueried(owner)) {
		t.yield(now, pending, owner)
		return
	}
	if found {
		t.queryAgain(now, pending, owner)
	}
	t.recordNotOwner(now, pending, from, reply)
}

// recordNotOwner records that an agent does not own a claimed flow, and
// finishes the claim when all agents have replied.
func (t *Tracker) recordNotOwner(now hickorymodel.Instant, pending *claim, from hickorymodel.Endpoint, reply *hickorymessage.OwnerReply) {
	if pending.removeWaiting(from) {
		pending.addReply(reply)
	}
	t.queryAlso(now, pending, reply.AlsoAsk)
	if len(pending.waiting) == 0 {
		t.finishClaim(now, pending)
	}
}

// tableAge returns the age of the flow table: the time since the agent started
// or was last paused. No record of an owned flow was lost in this time.
func (t *Tracker) tableAge(now hickorymodel.Instant) time.Duration {
	return now.Sub(t.startedAt)
}

// ownerIn returns the owner that a reply names. An agent that claims the flow
// counts as the owner if its endpoint is lower than this agent's.
func (t *Tracker) ownerIn(from hickorymodel.Endpoint, reply *hickorymessage.OwnerReply) (hickorymodel.Endpoint, bool) {
	_, fromExcluded := t.excluded[from]
	switch reply.Status {
	case hickorymessage.OwnerStatusOwn:
		return from, !fromExcluded
	case hickorymessage.OwnerStatusClaiming:
		return from, !fromExcluded && from.Compare(t.self) < 0
	default:
	}
	if reply.Owner == nil {
		return hickorymodel.Endpoint{}, false
	}
	owner, err := hickorymodel.ParseEndpoint(*reply.Owner)
	if err != nil || t.isSelf(owner) {
		return hickorymodel.Endpoint{}, false
	}
	_, excluded := t.excluded[owner]
	return owner, !excluded
}

// handleRedirects stores the owners of flows whose home is this agent.
func (t *Tracker) handleRedirects(now hickorymodel.Instant, entry *hickorymessage.RedirectEntry) {
	owner, err := hickorymodel.ParseEndpoint(entry.Owner)
	if _, excluded := t.excluded[owner]; err != nil || excluded || t.isSelf(owner) || entry.Service != t.service.Number {
		return
	}
	for _, flow := range entry.Flows {
		key, err := hickorymodel.ParseFlowKey(flow)
		if err == nil {
			t.applyRedirect(now, key, owner)
		}
	}
}

// applyRedirect stores the owner of one flow. It ends a claim of the flow,
// since the owner may not be among the candidates that were queried.
func (t *Tracker) applyRedirect(now hickorymodel.Instant, key hickorymodel.FlowKey, owner hickorymodel.Endpoint) {
	if pending := t.claims.byKey[key]; pending != nil {
		t.yield(now, pending, owner)
		return
	}
	r := t.flows.find(&key)
	if r != nil && !r.unchecked {
		return
	}
	if r != nil {
		t.end(r)
	}
	t.redirects.put(now, key, owner)
}

// Tick repeats queries, applies timeouts, sweeps a part of the flow table and
// sends notices that are due. It must be called at least every TickInterval
// while the agent runs. The actions are valid until the next call.
func (t *Tracker) Tick(now hickorymodel.Instant) []Action {
	t.begin(now)
	if !t.hasService {
		return t.actions
	}
	t.retryClaims(now)
	t.timeOutOpenings(now)
	t.pruneLapsed(now)
	t.sweepFlows(now)
	t.updateZoneWindows(now)
	t.finish(now)
	return t.actions
}

func sortClaims(claims []*claim) {
	slices.SortFunc(claims, func(a, b *claim) int {
		return a.query - b.query
	})
}

// LoadMessage converts a load for use in messages.
func LoadMessage(load hickoryadmission.Load) hickorymessage.Load {
	return hickorymessage.Load{
		Flows:     load.Flows,
		Openings:  load.Openings,
		Limit:     load.Limit,
		Accepting: load.Accepting,
	}
}

func loadFromMessage(load hickorymessage.Load) hickoryadmission.Load {
	return hickoryadmission.Load{
		Flows:     load.Flows,
		Openings:  load.Openings,
		Limit:     load.Limit,
		Accepting: load.Accepting,
	}
}
