package hickoryscenario

import (
	"fmt"
	"strconv"
	"strings"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// runExpect compares a count: expect WHAT [OF] COUNT. COUNT may be N, N+ for at
// least N, or N- for at most N.
func runExpect(sim *simulation, args []string) error {
	count, err := sim.count(args[:len(args)-1])
	if err != nil {
		return err
	}
	want := args[len(args)-1]
	n, err := strconv.Atoi(strings.TrimRight(want, "+-"))
	if err != nil {
		return err
	}
	ok := count == n
	switch {
	case strings.HasSuffix(want, "+"):
		ok = count >= n
	case strings.HasSuffix(want, "-"):
		ok = count <= n
	}
	if !ok {
		return fmt.Errorf("count is %d, want %s; drops %v", count, want, sim.log.drops)
	}
	return nil
}

// count returns the quantity that an expect command names.
func (sim *simulation) count(args []string) (int, error) {
	of := args[len(args)-1]
	switch args[0] {
	case "established":
		return sim.countFlows(of, func(f *flow) bool { return f.established && f.broken == "" }), nil
	case "broken":
		return sim.countFlows(of, func(f *flow) bool { return f.broken != "" }), nil
	case "waiting":
		return sim.countFlows(of, func(f *flow) bool { return f.waitingFor >= 0 && !f.closed }), nil
	case "ownedBy":
		return sim.countFlows(of, func(f *flow) bool { return f.owner == args[1] }), nil
	case "flows":
		return sim.agents[of].tracker.Flows(), nil
	case "openings":
		return sim.agents[of].tracker.Load().Openings, nil
	case "dropped":
		return sim.dropsOf(of), nil
	case "messages":
		return sim.log.messages[of], nil
	case "forwards":
		return sim.log.forwards, nil
	case "delivered":
		return sim.deliveredTo(of, 0), nil
	case "deliveredSince":
		return sim.deliveredTo(of, sim.log.mark), nil
	default:
		return 0, fmt.Errorf("unknown count %q", args[0])
	}
}

func (sim *simulation) countFlows(pattern string, wanted func(*flow) bool) int {
	count := 0
	for _, f := range sim.flowsMatching(pattern) {
		if wanted(f) {
			count++
		}
	}
	return count
}

func (sim *simulation) deliveredTo(name string, since int) int {
	count := 0
	for _, d := range sim.log.deliveries[since:] {
		if d.agent == name {
			count++
		}
	}
	return count
}

// runCheck checks the history: check, or check survival. The latter also fails if a
// flow was broken although its upstream was alive and in service.
func runCheck(sim *simulation, args []string) error {
	if err := sim.log.check(); err != nil {
		return err
	}
	if len(args) > 0 && args[0] == "survival" {
		return sim.log.checkSurvival()
	}
	return nil
}

// runForge sends a packet of some flows with the given service and candidate list, as
// a balancer with a wrong table does:
// forge PATTERN first|data BALANCER SERVICE AGENT...
func runForge(sim *simulation, args []string) error {
	for _, f := range sim.flowsMatching(args[0]) {
		p := sim.newPacket(f, args[1] == "first", false)
		packet := p.packet()
		packet.Service = sim.sections[args[3]].service.Number
		packet.Flags = hickoryflow.FlagTransition
		for i, name := range args[4:] {
			packet.Candidates[i] = hickorymodel.Candidate{Endpoint: sim.endpointOf(name), State: hickorymodel.CandidateAccepting}
		}
		sim.transmitPacket(args[2], packet.Candidates[0].Endpoint, &packet)
	}
	return nil
}

// runRedirect sends an agent a redirect entry for some flows, as if another agent
// owned them: redirect PATTERN AGENT OWNER.
func runRedirect(sim *simulation, args []string) error {
	a, owner := sim.agents[args[1]], sim.agents[args[2]]
	for _, f := range sim.flowsMatching(args[0]) {
		sim.handleMessageAtAgent(a, owner.endpoint, &hickorymessage.Datagram{RedirectEntry: &hickorymessage.RedirectEntry{
			Service: a.section.service.Number,
			Owner:   owner.endpoint.ID(),
			Flows:   []hickorymessage.Flow{f.key.Message()},
		}})
	}
	return nil
}
