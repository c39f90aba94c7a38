package hickoryscenario

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// mutation is a rule of the system that the driver switches off, and the failure that
// a check must then report.
type mutation struct {
	name      string
	overrides overrides
	run       func(sim *simulation)
	check     func(sim *simulation) error
	failure   string
}

// TestChecksCatchMutations guards against checks that cannot fail. Each check must
// pass while the system keeps the rule and fail while the driver breaks it.
// docs/measures-flows.md lists the same pairs of check and rule.
func TestChecksCatchMutations(t *testing.T) {
	for _, m := range mutations() {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			sim := newSimulation(1)
			m.run(sim)
			is.NoErr(m.check(sim)) // the rule is on
			sim = newSimulation(1)
			sim.overrides = m.overrides
			m.run(sim)
			err := m.check(sim)
			is.True(err != nil) // the rule is off
			is.True(strings.Contains(err.Error(), m.failure))
		})
	}
}

func mutations() []mutation {
	return []mutation{
		{
			name:      "owners: no agent asks for the owner",
			overrides: overrides{omitTransitionFlag: true, rewrite: markAsFirstPacket},
			run:       moveHomes(hickorymodel.ProtocolUDP),
			check:     func(sim *simulation) error { return sim.log.checkOwners() },
			failure:   "two owners",
		},
		{
			name:      "first packets: the transition flag is left out",
			overrides: overrides{omitTransitionFlag: true},
			run:       moveHomes(hickorymodel.ProtocolTCP),
			check:     func(sim *simulation) error { return sim.log.checkFirst() },
			failure:   "the first packet",
		},
		{
			name:      "services: packets are delivered without asking the tracker",
			overrides: overrides{skipTracker: func(*sentPacket) bool { return true }},
			run:       forgeLists,
			check:     func(sim *simulation) error { return sim.log.checkDeliveries() },
			failure:   "does not have the address",
		},
		{
			name:      "zones: packets are delivered without asking the tracker",
			overrides: overrides{skipTracker: func(*sentPacket) bool { return true }},
			run:       missZoneOut,
			check:     func(sim *simulation) error { return sim.log.checkDeliveries() },
			failure:   "out of service",
		},
		{
			name:      "survival: the list has the home only",
			overrides: overrides{onlyHome: true, dropRedirectEntries: true},
			run:       moveHomes(hickorymodel.ProtocolTCP),
			check:     func(sim *simulation) error { return sim.log.checkSurvival() },
			failure:   "was broken",
		},
		{
			name:      "versions: an older version is put into effect",
			overrides: overrides{staleRead: true},
			run:       deliverOldVersion,
			check:     func(sim *simulation) error { return sim.log.checkVersions() },
			failure:   "went back",
		},
	}
}

// markAsFirstPacket changes each packet into the first packet of a flow, without
// FlagTransition, so that its home becomes the owner without a query.
func markAsFirstPacket(_ *simulation, _ *agent, p *hickoryflow.Packet) {
	p.First = true
	p.Flags &^= hickoryflow.FlagTransition
}

// moveHomes opens flows, adds upstreams that become the homes of some of them, and
// repeats the first packets at once, as the network may do.
func moveHomes(protocol hickorymodel.Protocol) func(*simulation) {
	return func(sim *simulation) {
		s := sim.addSection("clubroom")
		for _, name := range []string{"a1@z1", "a2@z2", "a3@z3"} {
			sim.addUpstream(s, name)
		}
		sim.publish(nil)
		sim.startBalancer("b1")
		for range 30 {
			sim.open(sim.newFlow("f", protocol, s, ""))
			sim.wait(openInterval)
		}
		sim.wait(time.Second)
		for _, name := range []string{"a4@z1", "a5@z2", "a6@z3"} {
			sim.addUpstream(s, name)
		}
		sim.publish(nil)
		for _, f := range sim.flows {
			sim.sendData(f)
			sim.sendVia("", sim.newPacket(f, true, false))
		}
		sim.wait(20 * time.Second)
	}
}

// forgeLists sends packets of one service to the agents of another.
func forgeLists(sim *simulation) {
	clubroom, packetdesk := sim.addSection("clubroom"), sim.addSection("packetdesk")
	sim.addUpstream(clubroom, "a1")
	sim.addUpstream(packetdesk, "p1")
	sim.publish(nil)
	sim.startBalancer("b1")
	sim.open(sim.newFlow("f", hickorymodel.ProtocolTCP, clubroom, ""))
	sim.wait(time.Second)
	for _, kind := range []string{"first", "data"} {
		_ = runForge(sim, []string{"f", kind, "b1", "packetdesk", "p1"})
	}
	sim.wait(time.Second)
}

// missZoneOut takes a zone out of service without sending the change to the balancer.
func missZoneOut(sim *simulation) {
	s := sim.addSection("clubroom")
	sim.addUpstream(s, "a1@z1")
	sim.addUpstream(s, "a2@z2")
	sim.publish(nil)
	sim.startBalancer("b1")
	for range 10 {
		sim.open(sim.newFlow("f", hickorymodel.ProtocolTCP, s, ""))
		sim.wait(openInterval)
	}
	sim.setZone("z1", true)
	sim.publish([]string{"a1", "a2"})
	for _, f := range sim.flows {
		sim.sendData(f)
	}
	sim.wait(time.Second)
}

// deliverOldVersion delivers an older version to an agent after a newer one.
func deliverOldVersion(sim *simulation) {
	s := sim.addSection("clubroom")
	sim.addUpstream(s, "a1")
	sim.publish(nil)
	older := s.published
	sim.publish(nil)
	sim.deliverService("a1", older)
}

// TestEachReasonIsKnown guards against a script that expects 0 drops with a reason
// that does not exist, which passes whatever is dropped.
func TestEachReasonIsKnown(t *testing.T) {
	is := is.New(t)
	known := map[string]bool{}
	for _, reason := range hickorymessage.DropReasons() {
		known[string(reason)] = true
	}
	for _, content := range scripts(t) {
		for _, line := range strings.Split(content, "\n") {
			fields := strings.Fields(line)
			if len(fields) > 2 && fields[0] == "expect" && fields[1] == "dropped" {
				is.True(known[fields[2]]) // the drop reason exists
			}
		}
	}
}
