package hickorymember

const (
	// doubtPercent is the share of targets that may miss at once before the
	// observer takes itself for the one that is cut off.
	doubtPercent = 30
	// doubtMinimum keeps one dead host of up to 3 targets from silencing its observer.
	doubtMinimum = 2
)

// updateDoubt decides whether the own view counts.
func (d *Detector) updateDoubt() {
	missing := 0
	for _, t := range d.ordered {
		if t.missing() {
			missing++
		}
	}
	doubt := missing >= doubtMinimum && missing*100 > doubtPercent*len(d.ordered)
	if doubt == d.doubt {
		return
	}
	d.doubt = doubt
	if !doubt {
		d.report(EventIsolationEnded, "")
		return
	}
	d.act(Action{Verb: VerbLog, LogEvent: LogEvent{
		Kind:    EventIsolated,
		Missing: missing,
		Targets: len(d.ordered),
	}})
}
