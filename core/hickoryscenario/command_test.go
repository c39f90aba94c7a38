package hickoryscenario

import (
	"fmt"
	"path"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// simulationKey is the key of the simulation in the values of a script's environment.
type simulationKey struct{}

// command is one command of the scenario language.
type command func(sim *simulation, args []string) error

// commands returns the commands of the scenario language by name. The names kill,
// wait and stop are not available, since testscript defines them itself.
func commands() map[string]command {
	return map[string]command{
		"service":   runService,
		"balancer":  forEachName((*simulation).startBalancer),
		"publish":   func(sim *simulation, args []string) error { sim.publish(args); return nil },
		"add":       runAdd,
		"drain":     setStates(hickorymodel.UpstreamLeaving),
		"undrain":   setStates(hickorymodel.UpstreamAccepting),
		"leave":     forEachName(func(sim *simulation, name string) { sim.agents[name].tracker.StopAccepting() }),
		"suspect":   suspect(hickorymodel.UpstreamSuspected),
		"clear":     suspect(hickorymodel.UpstreamAccepting),
		"remove":    forEachName((*simulation).removeUpstream),
		"replace":   runReplace,
		"zone":      runZone,
		"move":      runMove,
		"crash":     forEachName((*simulation).kill),
		"restart":   forEachName((*simulation).restart),
		"pause":     forEachName(func(sim *simulation, name string) { sim.setPaused(name, true) }),
		"resume":    forEachName(func(sim *simulation, name string) { sim.setPaused(name, false) }),
		"partition": runPartition,
		"link":      runLink,
		"heal":      func(sim *simulation, _ []string) error { sim.linkRules = nil; return nil },
		"open":      runOpen,
		"reopen":    forEachFlow(func(sim *simulation, f *flow) { sim.open(f); sim.wait(openInterval) }),
		"spray":     runSpray,
		"repeat":    runRepeat,
		"finish":    forEachFlow((*simulation).closeFlow),
		"forge":     runForge,
		"redirect":  runRedirect,
		"mark":      func(sim *simulation, _ []string) error { sim.log.mark = len(sim.log.deliveries); return nil },
		"run":       runTime,
		"expect":    runExpect,
		"check":     runCheck,
		"show":      runShow,
	}
}

// scriptCommands adapts the commands to testscript.
func scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	adapted := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands() {
		adapted[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			sim := ts.Value(simulationKey{}).(*simulation)
			sim.logf = ts.Logf
			err := run(sim, args)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s %v succeeded, seed %d", name, args, sim.seed)
			case !neg && err != nil:
				ts.Fatalf("%s %v: %v, seed %d", name, args, err, sim.seed)
			}
		}
	}
	return adapted
}

// forEachName returns a command that calls a function for each of its arguments.
func forEachName(run func(*simulation, string)) command {
	return func(sim *simulation, args []string) error {
		for _, name := range args {
			run(sim, name)
		}
		return nil
	}
}

// setStates returns a command that sets the state of the upstreams it names. The
// change takes effect with the next publish command.
func setStates(state hickorymodel.UpstreamState) command {
	return forEachName(func(sim *simulation, name string) { sim.setState(name, state) })
}

// suspect returns a command that sets the state of the upstreams it names, as the
// failure detector does: the change takes effect at once, without a new generation.
func suspect(state hickorymodel.UpstreamState) command {
	return func(sim *simulation, args []string) error {
		for _, name := range args {
			sim.setState(name, state)
		}
		sim.distribute(nil)
		return nil
	}
}

// runService defines a service: service NAME UPSTREAM@ZONE... [connections=N] [slots=N].
func runService(sim *simulation, args []string) error {
	names, options, err := split(args)
	if err != nil {
		return err
	}
	s := sim.addSection(names[0])
	if n, ok := options["connections"]; ok {
		if _, err := fmt.Sscan(n, &s.service.Connections); err != nil {
			return err
		}
	}
	if n, ok := options["slots"]; ok {
		if _, err := fmt.Sscan(n, &s.service.Slots); err != nil {
			return err
		}
	}
	for _, name := range names[1:] {
		sim.addUpstream(s, name)
	}
	return nil
}

// runAdd adds upstreams to a service: add SERVICE UPSTREAM@ZONE...
func runAdd(sim *simulation, args []string) error {
	for _, name := range args[1:] {
		sim.addUpstream(sim.sections[args[0]], name)
	}
	return nil
}

// runReplace replaces an upstream by a new one with the same id: replace OLD NEW.
func runReplace(sim *simulation, args []string) error {
	sim.replaceUpstream(args[0], args[1])
	return nil
}

// runZone takes zones out of service or back in: zone out|in NAME.
func runZone(sim *simulation, args []string) error {
	sim.setZone(args[1], args[0] == "out")
	return nil
}

// runMove moves the address of one service to another: move FROM TO.
func runMove(sim *simulation, args []string) error {
	from, to := sim.sections[args[0]], sim.sections[args[1]]
	to.service.Addresses = append(to.service.Addresses, from.service.Addresses...)
	from.service.Addresses = nil
	return nil
}

// runPartition drops all packets and messages between two processes: partition A B,
// or only those from A to B: partition oneway A B.
func runPartition(sim *simulation, args []string) error {
	if args[0] == "oneway" {
		sim.linkRules = append(sim.linkRules, linkRule{kind: "*", from: args[1], to: args[2], loss: 1})
		return nil
	}
	sim.linkRules = append(sim.linkRules,
		linkRule{kind: "*", from: args[0], to: args[1], loss: 1},
		linkRule{kind: "*", from: args[1], to: args[0], loss: 1})
	return nil
}

// runLink adds a linkRule: link KIND FROM TO [loss=P] [delay=D] [jitter=D] [repeat=N].
func runLink(sim *simulation, args []string) error {
	names, options, err := split(args)
	if err != nil {
		return err
	}
	r := linkRule{kind: names[0], from: names[1], to: names[2]}
	for name, value := range options {
		var err error
		switch name {
		case "loss":
			r.loss, err = strconv.ParseFloat(value, 64)
		case "delay":
			r.delay, err = time.ParseDuration(value)
		case "jitter":
			r.jitter, err = time.ParseDuration(value)
		case "repeat":
			r.repeat, err = strconv.Atoi(value)
		default:
			err = fmt.Errorf("unknown option %q", name)
		}
		if err != nil {
			return err
		}
	}
	sim.linkRules = append(sim.linkRules, r)
	return nil
}

// openInterval is the time between the first packets of one open command.
const openInterval = 20 * time.Millisecond

// runOpen opens COUNT flows, NAME1, NAME2 and so on:
// open tcp|udp SERVICE NAME COUNT [via=BALANCER] [every=D].
func runOpen(sim *simulation, args []string) error {
	names, options, err := split(args)
	if err != nil {
		return err
	}
	count, err := strconv.Atoi(names[3])
	if err != nil {
		return err
	}
	interval := openInterval
	if text, ok := options["every"]; ok {
		if interval, err = time.ParseDuration(text); err != nil {
			return err
		}
	}
	protocol := hickorymodel.ProtocolTCP
	if names[0] == "udp" {
		protocol = hickorymodel.ProtocolUDP
	}
	for i := range count {
		sim.open(sim.newFlow(fmt.Sprintf("%s%d", names[2], i+1), protocol, sim.sections[names[1]], options["via"]))
		sim.wait(interval)
	}
	return nil
}

// runSpray sends a packet on each established flow: spray PATTERN [via=BALANCER].
func runSpray(sim *simulation, args []string) error {
	names, options, err := split(args)
	if err != nil {
		return err
	}
	for _, f := range sim.flowsMatching(names[0]) {
		f.via = options["via"]
		sim.sendData(f)
	}
	return nil
}

// runRepeat sends another first packet of flows: repeat PATTERN [via=BALANCER]
// [closing=true]. With closing, the packet also closes the flow, as one with FIN.
func runRepeat(sim *simulation, args []string) error {
	names, options, err := split(args)
	if err != nil {
		return err
	}
	for _, f := range sim.flowsMatching(names[0]) {
		sim.sendVia(options["via"], sim.newPacket(f, true, options["closing"] == "true"))
	}
	return nil
}

// runTime advances the virtual time: run 5s.
func runTime(sim *simulation, args []string) error {
	d, err := time.ParseDuration(args[0])
	if err == nil {
		sim.wait(d)
	}
	return err
}

// forEachFlow returns a command that calls a function for each flow whose name matches
// the pattern in its first argument.
func forEachFlow(run func(*simulation, *flow)) command {
	return func(sim *simulation, args []string) error {
		for _, f := range sim.flowsMatching(args[0]) {
			run(sim, f)
		}
		return nil
	}
}

// flowsMatching returns the flows whose names match a pattern.
func (sim *simulation) flowsMatching(pattern string) []*flow {
	var found []*flow
	for _, f := range sim.flows {
		if ok, err := path.Match(pattern, f.name); ok && err == nil {
			found = append(found, f)
		}
	}
	return found
}

// split separates names from options written as key=value.
func split(args []string) ([]string, map[string]string, error) {
	var names []string
	options := map[string]string{}
	for _, arg := range args {
		key, value, ok := strings.Cut(arg, "=")
		if ok {
			options[key] = value
			continue
		}
		names = append(names, arg)
	}
	if len(names) == 0 {
		return nil, nil, fmt.Errorf("the command has no arguments besides options")
	}
	return names, options, nil
}

// dropsOf returns the number of drops with a reason.
func (sim *simulation) dropsOf(reason string) int {
	return sim.log.drops[hickorymessage.DropReason(reason)]
}
