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
	run       func(w *world)
	check     func(w *world) error
	failure   string
}

// TestChecksCatchMutations guards against checks that cannot fail. Each check must
// pass while the system keeps the rule and fail while the driver breaks it.
// docs/measures-flows.md lists the same pairs of check and rule.
func TestChecksCatchMutations(t *testing.T) {
	for _, m := range mutations() {
		t.Run(m.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(1)
			m.run(w)
			is.NoErr(m.check(w)) // the rule is on
			w = newWorld(1)
			w.overrides = m.overrides
			m.run(w)
			err := m.check(w)
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
			check:     func(w *world) error { return w.log.checkOwners() },
			failure:   "two owners",
		},
		{
			name:      "first packets: the transition flag is left out",
			overrides: overrides{omitTransitionFlag: true},
			run:       moveHomes(hickorymodel.ProtocolTCP),
			check:     func(w *world) error { return w.log.checkFirst() },
			failure:   "the first packet",
		},
		{
			name:      "services: packets are delivered without asking the tracker",
			overrides: overrides{skipTracker: func(*sentPacket) bool { return true }},
			run:       forgeLists,
			check:     func(w *world) error { return w.log.checkDeliveries() },
			failure:   "does not have the address",
		},
		{
			name:      "zones: packets are delivered without asking the tracker",
			overrides: overrides{skipTracker: func(*sentPacket) bool { return true }},
			run:       missZoneOut,
			check:     func(w *world) error { return w.log.checkDeliveries() },
			failure:   "out of service",
		},
		{
			name:      "survival: the list has the home only",
			overrides: overrides{onlyHome: true, dropRedirectEntries: true},
			run:       moveHomes(hickorymodel.ProtocolTCP),
			check:     func(w *world) error { return w.log.checkSurvival() },
			failure:   "was broken",
		},
		{
			name:      "versions: an older version is put into effect",
			overrides: overrides{staleRead: true},
			run:       deliverOldVersion,
			check:     func(w *world) error { return w.log.checkVersions() },
			failure:   "went back",
		},
	}
}

// markAsFirstPacket changes each packet into the first packet of a flow, without
// FlagTransition, so that its home becomes the owner without a query.
func markAsFirstPacket(_ *world, _ *agent, p *hickoryflow.Packet) {
	p.First = true
	p.Flags &^= hickoryflow.FlagTransition
}

// moveHomes opens flows, adds upstreams that become the homes of some of them, and
// repeats the first packets at once, as the network may do.
func moveHomes(protocol hickorymodel.Protocol) func(*world) {
	return func(w *world) {
		s := w.addSection("clubroom")
		for _, name := range []string{"a1@z1", "a2@z2", "a3@z3"} {
			w.addUpstream(s, name)
		}
		w.publish(nil)
		w.startBalancer("b1")
		for range 30 {
			w.open(w.newFlow("f", protocol, s, ""))
			w.wait(openInterval)
		}
		w.wait(time.Second)
		for _, name := range []string{"a4@z1", "a5@z2", "a6@z3"} {
			w.addUpstream(s, name)
		}
		w.publish(nil)
		for _, f := range w.flows {
			w.sendData(f)
			w.sendVia("", w.newPacket(f, true, false))
		}
		w.wait(20 * time.Second)
	}
}

// forgeLists sends packets of one service to the agents of another.
func forgeLists(w *world) {
	clubroom, packetdesk := w.addSection("clubroom"), w.addSection("packetdesk")
	w.addUpstream(clubroom, "a1")
	w.addUpstream(packetdesk, "p1")
	w.publish(nil)
	w.startBalancer("b1")
	w.open(w.newFlow("f", hickorymodel.ProtocolTCP, clubroom, ""))
	w.wait(time.Second)
	for _, kind := range []string{"first", "data"} {
		_ = runForge(w, []string{"f", kind, "b1", "packetdesk", "p1"})
	}
	w.wait(time.Second)
}

// missZoneOut takes a zone out of service without sending the change to the balancer.
func missZoneOut(w *world) {
	s := w.addSection("clubroom")
	w.addUpstream(s, "a1@z1")
	w.addUpstream(s, "a2@z2")
	w.publish(nil)
	w.startBalancer("b1")
	for range 10 {
		w.open(w.newFlow("f", hickorymodel.ProtocolTCP, s, ""))
		w.wait(openInterval)
	}
	w.setZone("z1", true)
	w.publish([]string{"a1", "a2"})
	for _, f := range w.flows {
		w.sendData(f)
	}
	w.wait(time.Second)
}

// deliverOldVersion delivers an older version to an agent after a newer one.
func deliverOldVersion(w *world) {
	s := w.addSection("clubroom")
	w.addUpstream(s, "a1")
	w.publish(nil)
	older := s.published
	w.publish(nil)
	w.deliverService("a1", older)
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
