package hickoryscenario

import "time"

// runShow writes the owner events of flows that are broken or not established to the
// log of the test: show PATTERN.
func runShow(w *world, args []string) error {
	for _, f := range w.flowsMatching(args[0]) {
		if f.established && f.broken == "" {
			continue
		}
		w.logf("%s %v established=%t owner=%s broken=%q", f.name, f.key.Source, f.established, f.owner, f.broken)
		for _, e := range w.log.owners {
			if e.key == f.key {
				w.logf("  %s release=%t at %v", e.agent, e.release, time.Duration(e.at)-time.Hour)
			}
		}
	}
	return nil
}
