package hickoryscenario

import "time"

// runShow writes the owner events of flows that are broken or not established to the
// log of the test: show PATTERN.
func runShow(sim *simulation, args []string) error {
	for _, f := range sim.flowsMatching(args[0]) {
		if f.established && f.broken == "" {
			continue
		}
		sim.logf("%s %v established=%t owner=%s broken=%q", f.name, f.key.Source, f.established, f.owner, f.broken)
		for _, e := range sim.log.owners {
			if e.key == f.key {
				sim.logf("  %s release=%t at %v", e.agent, e.release, time.Duration(e.at)-time.Hour)
			}
		}
	}
	return nil
}
