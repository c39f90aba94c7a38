package hickoryscenario

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// history records the events of a run for the checks.
type history struct {
	owners     []ownerEvent
	reads      []read
	deliveries []delivery
	broken     []brokenFlow
	drops      map[hickorymessage.DropReason]int
	// messages counts the messages between agents by kind.
	messages map[string]int
	// forwards counts the packets that agents forwarded to other agents.
	forwards int
	// mark is the number of deliveries at the last mark command.
	mark int
}

// ownerEvent records that an agent became the owner of a flow or, if release is true,
// ceased to be the owner.
type ownerEvent struct {
	key     hickorymodel.FlowKey
	agent   string
	release bool
	at      hickorymodel.Instant
	// earliest is set for a release: the release cannot have happened before the owner
	// event with this index.
	earliest int
}

// read records that a process applied a version of a service. The version is the
// generation of the service.
type read struct {
	instance string
	service  hickoryid.ServiceName
	version  hickorymodel.Generation
}

// delivery records that an agent delivered a packet to its upstream.
type delivery struct {
	agent string
	// addressMatches is true if the section in effect at the agent has the destination
	// address of the packet.
	addressMatches bool
	flow           *flow
	incarnation    int
	first          bool
	// zoneOut is true if the agent had applied a version in which its zone is out of
	// service.
	zoneOut bool
	// ended is set if the upstream died, its zone was out of service or went out of
	// service later, or the agent has ended the flow because it was idle.
	ended bool
	at    hickorymodel.Instant
}

// udpIdleTime is the time without packets after which an agent ends a UDP flow.
const udpIdleTime = 60 * time.Second

// brokenFlow records that an established flow was broken.
type brokenFlow struct {
	flow  *flow
	owner string
	cause string
	// mayBreak is true if the flow is allowed to break: the upstream had died, or its
	// zone was out of service at some time since the flow was opened.
	mayBreak bool
}

// drop counts a dropped packet.
func (h *history) drop(_ *simulation, _ string, _ *sentPacket, reason hickorymessage.DropReason) {
	h.drops[reason]++
}

// deliver records a delivery and, if it is the agent's first for the flow, that the
// agent became the owner.
func (h *history) deliver(sim *simulation, a *agent, p *sentPacket) {
	h.deliveries = append(h.deliveries, delivery{
		agent: a.name, addressMatches: a.servesAddress(p.flow.key), flow: p.flow,
		incarnation: p.incarnation, first: p.first, zoneOut: a.zoneOut,
		// The operators give up the flows of the zone, although the agent may receive
		// the change 3 s later (seed 66 of 30 steps).
		ended: a.ownerEventsAtZoneOut >= 0, at: sim.now,
	})
	if !a.owned[p.flow.key] {
		a.owned[p.flow.key] = true
		h.owners = append(h.owners, ownerEvent{key: p.flow.key, agent: a.name, at: sim.now})
	}
}

// servesAddress reports whether the section in effect at the agent has the
// destination address of a flow.
func (a *agent) servesAddress(key hickorymodel.FlowKey) bool {
	for _, address := range a.service.Addresses {
		if address.Socket == key.Destination && address.Protocol == key.Protocol {
			return true
		}
	}
	return false
}

// recordReleases records the flows that a tracker no longer owns. If the agent was
// paused, the release may have happened at any time of the pause; if its zone is out
// of service, at any time since the operators changed the zone.
func (sim *simulation) recordReleases(a *agent) {
	earliest := len(sim.log.owners)
	for _, index := range []int{a.ownerEventsAtPause, a.ownerEventsAtZoneOut} {
		if index >= 0 {
			earliest = min(earliest, index)
		}
	}
	for key := range a.owned {
		if a.dead || !a.tracker.Owns(key) {
			delete(a.owned, key)
			sim.log.endIdle(sim.now, a.name, key)
			sim.log.owners = append(sim.log.owners, ownerEvent{key: key, agent: a.name, release: true, at: sim.now, earliest: earliest})
		}
	}
}

// recordDeath marks an agent as dead and records that its flows have ended.
func (sim *simulation) recordDeath(a *agent) {
	a.dead = true
	sim.recordReleases(a)
	sim.log.endDeliveries(a.name)
}

// endIdle marks the deliveries of a UDP flow that an agent has released as ended if the
// agent has delivered no packet of the flow for udpIdleTime: the caller's last repetition
// of a first packet comes 63 s after the first one (seed 34 of 30 steps).
func (h *history) endIdle(now hickorymodel.Instant, agent string, key hickorymodel.FlowKey) {
	var deliveries []*delivery
	idle := key.Protocol == hickorymodel.ProtocolUDP
	for i := range h.deliveries {
		d := &h.deliveries[i]
		if d.agent == agent && d.flow.key == key {
			deliveries = append(deliveries, d)
			idle = idle && now.Sub(d.at) >= udpIdleTime
		}
	}
	for _, d := range deliveries {
		d.ended = d.ended || idle
	}
}

// endDeliveries marks all deliveries to an upstream as ended, because the upstream
// died or its zone went out of service.
func (h *history) endDeliveries(name string) {
	for i := range h.deliveries {
		if h.deliveries[i].agent == name {
			h.deliveries[i].ended = true
		}
	}
}

// checkOwners checks that no flow has two owners at the same time. It checks the
// owner events of each flow as operations on a lock that the owner holds.
func (h *history) checkOwners() error {
	perFlow := map[hickorymodel.FlowKey][]porcupine.Operation{}
	var keys []hickorymodel.FlowKey
	for i, e := range h.owners {
		call := i
		if e.release {
			call = e.earliest
		}
		if _, known := perFlow[e.key]; !known {
			keys = append(keys, e.key)
		}
		perFlow[e.key] = append(perFlow[e.key], porcupine.Operation{Input: e, Call: int64(2 * call), Return: int64(2*i + 1)})
	}
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, _ any) (bool, any) {
			e := input.(ownerEvent)
			if e.release {
				return state == e.agent, ""
			}
			return state == "", e.agent
		},
	}
	for _, key := range keys {
		operations := perFlow[key]
		if !porcupine.CheckOperations(model, operations) {
			return fmt.Errorf("flow %v has two owners: %v", key.Source, ownersOf(operations))
		}
	}
	return nil
}

func ownersOf(operations []porcupine.Operation) []string {
	var text []string
	for _, o := range operations {
		e := o.Input.(ownerEvent)
		text = append(text, fmt.Sprintf("%s release=%t at=%d", e.agent, e.release, e.at))
	}
	return text
}

// checkVersions checks that no process applies a version of a service that is older
// than one that it has applied before.
func (h *history) checkVersions() error {
	perInstance := map[string][]porcupine.Operation{}
	for i, r := range h.reads {
		key := r.instance + " " + string(r.service)
		perInstance[key] = append(perInstance[key], porcupine.Operation{Input: r, Call: int64(2 * i), Return: int64(2*i + 1)})
	}
	model := porcupine.Model{
		Init: func() any { return hickorymodel.Generation(0) },
		Step: func(state, input, _ any) (bool, any) {
			version := input.(read).version
			return version >= state.(hickorymodel.Generation), version
		},
	}
	for key, operations := range perInstance {
		if !porcupine.CheckOperations(model, operations) {
			return fmt.Errorf("a version read by %s went back", key)
		}
	}
	return nil
}

// checkFirst checks that no first packet of a flow reached two live upstreams. A flow
// that is opened again counts as another flow.
func (h *history) checkFirst() error {
	type incarnation struct {
		flow   *flow
		number int
	}
	reached := map[incarnation]string{}
	for _, d := range h.deliveries {
		if !d.first || d.ended {
			continue
		}
		key := incarnation{flow: d.flow, number: d.incarnation}
		if other, known := reached[key]; known && other != d.agent {
			return fmt.Errorf("the first packet of flow %s reached %s and %s", d.flow.name, other, d.agent)
		}
		reached[key] = d.agent
	}
	return nil
}

// checkDeliveries checks that no packet reached an upstream of another service, or an
// upstream whose zone the agent had applied as out of service.
func (h *history) checkDeliveries() error {
	for _, d := range h.deliveries {
		if !d.addressMatches {
			return fmt.Errorf("a packet of flow %s reached %s, whose service does not have the address", d.flow.name, d.agent)
		}
		if d.zoneOut {
			return fmt.Errorf("a packet of flow %s reached %s, whose zone is out of service", d.flow.name, d.agent)
		}
	}
	return nil
}

// checkSurvival checks that no flow was broken except those whose upstream died or
// whose zone was out of service.
func (h *history) checkSurvival() error {
	for _, b := range h.broken {
		if !b.mayBreak {
			return fmt.Errorf("flow %s of %s was broken: %s", b.flow.name, b.owner, b.cause)
		}
	}
	return nil
}

// check runs all checks except checkSurvival.
func (h *history) check() error {
	for _, check := range []func() error{h.checkOwners, h.checkVersions, h.checkFirst, h.checkDeliveries} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}
