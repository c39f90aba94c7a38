package hickorymember

const (
	// isolatedPercent is the share of missing targets above which the observer
	// treats itself as cut off, and not its targets as dead.
	isolatedPercent = 30
	// isolatedMinMissing is the number of missing targets below which an observer
	// is never isolated. Otherwise one dead host among up to 3 targets would keep
	// the observer from reporting it.
	isolatedMinMissing = 2
)

// updateIsolated decides whether this balancer is isolated, and logs a change.
func (d *Detector) updateIsolated() {
	missing := 0
	for _, t := range d.ordered {
		if t.missing() {
			missing++
		}
	}
	isolated := missing >= isolatedMinMissing && missing*100 > isolatedPercent*len(d.ordered)
	if isolated == d.isolated {
		return
	}
	d.isolated = isolated
	if !isolated {
		d.logEvent(EventIsolationEnded, "")
		return
	}
	d.addAction(Action{Verb: VerbLog, LogEvent: LogEvent{
		Kind:    EventIsolated,
		Missing: missing,
		Targets: len(d.ordered),
	}})
}
