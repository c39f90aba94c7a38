package hickorydemo

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickorydemoreport"
)

// run is one run of the demo.
type run struct {
	*fleet
	startedAt time.Time
	// progress is called with one line for each step.
	progress func(string)
	observed observations
}

// Run starts a fleet, performs the steps under load and reports the figures and
// guarantees. It returns an error if the run itself fails; a guarantee that does
// not hold is part of the report.
func Run(ctx context.Context, options Options, logger *hickorylog.Logger, progress func(string)) (hickorydemoreport.Report, error) {
	r := &run{fleet: newFleet(options, logger), startedAt: time.Now(), progress: progress}
	err := r.runSteps(ctx)
	report := hickorydemoreport.Report{}
	if err == nil {
		report = r.report()
	}
	if closeErr := r.close(); err == nil {
		err = closeErr
	}
	return report, err
}

// step is one change of a run.
type step struct {
	name string
	at   time.Duration
	run  func(context.Context) error
}

func (r *run) steps() []step {
	s := &r.options.Schedule
	return []step{
		{name: "open flows", run: r.openFlows},
		{name: "wait until the long-lived flows are open", at: s.Opening, run: r.awaitFlows},
		{name: "stop one balancer gracefully", at: s.StopBalancer, run: r.stopBalancer},
		{name: "kill one balancer", at: s.KillBalancer, run: r.killBalancer},
		{name: "add a balancer", at: s.AddBalancer, run: r.addBalancer},
		{name: "drain an upstream", at: s.DrainUpstream, run: r.drainUpstream},
		{name: "start a cold upstream", at: s.StartCold, run: r.startColdUpstream},
		{name: "publish a configuration change", at: s.Configure, run: r.configure},
		{name: "take a zone out of service", at: s.ZoneOut, run: r.takeZoneOut},
		{name: "bring the zone back", at: s.ZoneBack, run: r.bringZoneBack},
		{name: "wait for the last answers", at: s.End, run: r.awaitLastReplies},
	}
}

// runSteps starts the fleet and performs each step at its time.
func (r *run) runSteps(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	for _, step := range r.steps() {
		if err := wait(ctx, time.Until(r.startedAt.Add(step.at))); err != nil {
			return errors.Wrapf(err, "wait for step %q", step.name)
		}
		r.reportProgress("%s", step.name)
		if err := step.run(ctx); err != nil {
			return errors.Wrapf(err, "step %q", step.name)
		}
	}
	return nil
}

// reportProgress reports a step with the time and the number of open and broken
// flows.
func (r *run) reportProgress(format string, arguments ...any) {
	callerReport := r.caller.Report()
	text := fmt.Sprintf(format, arguments...)
	r.progress(fmt.Sprintf("%5.1f s  %-50s %5d flows open, %d broken",
		time.Since(r.startedAt).Seconds(), text, callerReport.Count("open"), callerReport.Broken()))
}

// wait returns after the duration, or earlier with the error of the context.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
