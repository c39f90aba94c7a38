package hickoryflow

import (
	"maps"
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickorymessage"
)

const (
	// registerInterval is the time between two redirect entries that the sweep
	// sends for a flow whose owner is not in the candidate list.
	registerInterval = 100 * time.Second
	// packetRegisterInterval is the shortest time between two redirect entries
	// that registerAtHome sends for one flow.
	packetRegisterInterval = 5 * time.Second
	// newHomeInterval replaces packetRegisterInterval when the home has changed
	// since the last redirect entry.
	newHomeInterval = 200 * time.Millisecond
	// sweepInterval, sweepRecords and registerBatch set the rate of the sweep:
	// 2,430 flows are checked and registered within 60 s at about 4 KB/s.
	sweepInterval = 350 * time.Millisecond
	sweepRecords  = 128
	registerBatch = 16
)

// sweep is the state of the iteration over the owned flows, which takes several
// ticks.
type sweep struct {
	// cursor is the position of the last checked record.
	cursor int
	nextAt hickorymodel.Instant
}

// registerAtHome sends a redirect entry to the home of a flow whose packet took
// more than one hop or a walk, so that later packets take one hop and the
// entries of former homes are no longer needed.
func (t *Tracker) registerAtHome(now hickorymodel.Instant, p *Packet, r *record) {
	home := p.Candidates[0]
	direct := p.Hops == 0 || p.Hops == 1 && !p.Flags.Has(FlagWalk)
	if direct || t.isSelf(home.Endpoint) {
		return
	}
	interval := packetRegisterInterval
	if home.Endpoint != r.home {
		interval = newHomeInterval
	}
	if now.Sub(r.registeredAt) < interval {
		return
	}
	r.registeredAt, r.home = now, home.Endpoint
	t.register(home.Endpoint, []hickorymodel.FlowKey{r.key})
}

func (t *Tracker) register(home hickorymodel.Endpoint, keys []hickorymodel.FlowKey) {
	entry := &hickorymessage.RedirectEntry{Service: t.service.Number, Owner: t.self.ID()}
	for _, key := range keys {
		entry.Flows = append(entry.Flows, key.Message())
	}
	t.send(home, &hickorymessage.Datagram{RedirectEntry: entry})
}

// sweepFlows ends idle flows and registers those whose candidate list in this
// agent's table no longer contains this agent. Each call checks a part of the
// table.
func (t *Tracker) sweepFlows(now hickorymodel.Instant) {
	if now.Before(t.sweep.nextAt) {
		return
	}
	t.sweep.nextAt = now.Add(sweepInterval)
	displaced := map[hickorymodel.Endpoint][]hickorymodel.FlowKey{}
	count := 0
	for range min(sweepRecords, len(t.flows.records)) {
		t.sweep.cursor = (t.sweep.cursor + 1) % len(t.flows.records)
		r := &t.flows.records[t.sweep.cursor]
		if r.state == flowFree || t.endIdle(now, r) {
			continue
		}
		home, ok := t.displacedHome(now, r)
		if !ok || count >= registerBatch {
			continue
		}
		r.registerAt = now.Add(registerInterval)
		r.registeredAt, r.home = now, home
		displaced[home] = append(displaced[home], r.key)
		count++
	}
	for _, home := range slices.SortedFunc(maps.Keys(displaced), hickorymodel.Endpoint.Compare) {
		t.register(home, displaced[home])
	}
}

// displacedHome returns the home of a flow that must be registered there,
// because the candidate list does not contain this agent. The lists contain an
// upstream that takes no new flows for a limited time only, so its flows are
// registered at once.
func (t *Tracker) displacedHome(now hickorymodel.Instant, r *record) (hickorymodel.Endpoint, bool) {
	if t.table == nil || r.unchecked {
		return hickorymodel.Endpoint{}, false
	}
	var choice hickorytable.Choice
	if !t.table.Choose(now, &r.key, &choice) || choice.Count == 0 {
		return hickorymodel.Endpoint{}, false
	}
	if t.listedIn(&choice.Candidates) && t.accepting(t.service) {
		return hickorymodel.Endpoint{}, false
	}
	home := choice.Candidates[0].Endpoint
	return home, !t.isSelf(home) && r.registrationDue(now, home)
}

// endIdle ends a flow that has been idle for too long and reports whether it
// did.
func (t *Tracker) endIdle(now hickorymodel.Instant, r *record) bool {
	if now.Sub(r.lastSeen) < r.idleTime() {
		return false
	}
	unanswered := r.state == flowOpening || r.state == flowUnanswered
	if unanswered && r.key.Protocol == hickorymodel.ProtocolTCP {
		t.markLapsed(now, r)
		return true
	}
	t.end(r)
	return true
}

// end removes an owned flow.
func (t *Tracker) end(r *record) {
	switch r.state {
	case flowOpening:
		t.gate.AbortOpening()
	case flowEstablished, flowClosing:
		t.counts.Ended++
	default:
	}
	if r.state == flowLapsed {
		t.lapsedCount--
	} else {
		t.uncount(r)
	}
	t.flows.remove(r.key)
}
