package hickoryscenario

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
)

// TestNoPacketReachesAnotherService guards against a packet that reaches an upstream
// of another service (guarantee P2), because a balancer has an old table, a candidate
// list is wrong or an address has moved. rapid draws the tables and the steps at random.
func TestNoPacketReachesAnotherService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		names := drawServices(t, sim)
		for _, name := range []string{"b1", "b2"} {
			sim.startBalancer(name)
		}
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			drawStep(t, sim, names, i)
			sim.wait(time.Duration(rapid.IntRange(0, 500).Draw(t, "wait")) * time.Millisecond)
		}
		sim.wait(time.Second)
		if err := sim.log.checkDeliveries(); err != nil {
			t.Fatal(err)
		}
	})
}

// drawServices defines two or three services with random upstreams and returns the
// names of all agents.
func drawServices(t *rapid.T, sim *simulation) []string {
	for i := range rapid.IntRange(2, 3).Draw(t, "services") {
		s := sim.addSection(fmt.Sprintf("s%d", i))
		for j := range rapid.IntRange(1, 8).Draw(t, "upstreams") {
			sim.addUpstream(s, fmt.Sprintf("s%da%d@z%d", i, j, j%3))
		}
	}
	sim.publish(nil)
	return append([]string(nil), sim.names...)
}

// drawStep takes one random step: a publication to some processes, a moved address, a
// new upstream, a drained upstream, a packet with a random header, or a new flow.
func drawStep(t *rapid.T, sim *simulation, agents []string, step int) {
	sections := make([]*section, 0, len(sim.sections))
	for i := range len(sim.sections) {
		sections = append(sections, sim.sections[fmt.Sprintf("s%d", i)])
	}
	s := rapid.SampledFrom(sections).Draw(t, "service")
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0:
		sim.publish(rapid.SliceOfN(rapid.SampledFrom(sim.names), 1, len(sim.names)).Draw(t, "to"))
	case 1:
		to := rapid.SampledFrom(sections).Draw(t, "to")
		if to != s {
			to.service.Addresses = append(to.service.Addresses, s.service.Addresses...)
			s.service.Addresses = nil
		}
	case 2:
		sim.addUpstream(s, fmt.Sprintf("n%d@z1", step))
	case 3:
		sim.setState(rapid.SampledFrom(agents).Draw(t, "drained"), hickorymodel.UpstreamLeaving)
	case 4:
		drawForged(t, sim, agents)
	default:
		if len(s.service.Addresses) > 0 {
			protocol := rapid.SampledFrom([]hickorymodel.Protocol{hickorymodel.ProtocolTCP, hickorymodel.ProtocolUDP}).Draw(t, "protocol")
			sim.open(sim.newFlow("f", protocol, s, rapid.SampledFrom([]string{"", "b1", "b2"}).Draw(t, "via")))
		}
	}
}

// drawForged sends a packet of a random flow with a random header.
func drawForged(t *rapid.T, sim *simulation, agents []string) {
	if len(sim.flows) == 0 {
		return
	}
	f := rapid.SampledFrom(sim.flows).Draw(t, "flow")
	packet := sim.newPacket(f, rapid.Bool().Draw(t, "first"), false).packet()
	list := rapid.SliceOfN(rapid.SampledFrom(agents), 1, hickorymodel.MaxCandidates).Draw(t, "list")
	for i, name := range list {
		packet.Candidates[i] = hickorymodel.Candidate{
			Endpoint: sim.endpointOf(name),
			State:    hickorymodel.CandidateState(rapid.IntRange(1, 3).Draw(t, "state")),
		}
	}
	packet.Flags = hickoryflow.Flags(rapid.IntRange(0, 15).Draw(t, "flags"))
	packet.Position = rapid.IntRange(0, len(list)-1).Draw(t, "position")
	packet.Hops = rapid.IntRange(0, hickoryflow.MaxHops).Draw(t, "hops")
	service := sim.agents[rapid.SampledFrom(agents).Draw(t, "number")].section.service
	packet.Service = service.Number
	sim.transmitPacket("b1", packet.Candidates[0].Endpoint, &packet)
}
