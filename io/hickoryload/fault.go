package hickoryload

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryexperiment"
)

// injectFaults waits for the measurement time of an experiment and injects its
// faults at their times.
func (c *cluster) injectFaults(ctx context.Context, experiment *hickoryexperiment.Experiment) error {
	startedAt := time.Now()
	for _, fault := range experiment.Faults {
		if err := wait(ctx, time.Until(startedAt.Add(fault.At.Value()))); err != nil {
			return err
		}
		if err := c.injectFault(ctx, fault); err != nil {
			return errors.Wrapf(err, "inject fault %s at %s", fault.Action, fault.At)
		}
	}
	return wait(ctx, time.Until(startedAt.Add(experiment.MeasureTime.Value())))
}

// injectFault calls the stand-ins for a fault of the platform and signals the
// process for any other fault.
func (c *cluster) injectFault(ctx context.Context, fault hickoryexperiment.Fault) error {
	switch fault.Action {
	case hickoryexperiment.FaultActionPlatformDown:
		return c.call(ctx, http.MethodPut, "/platform?down=true", nil)
	case hickoryexperiment.FaultActionPlatformUp:
		return c.call(ctx, http.MethodPut, "/platform", nil)
	case hickoryexperiment.FaultActionKill:
		return c.signal(fault.Process, syscall.SIGKILL)
	case hickoryexperiment.FaultActionPause:
		return c.signal(fault.Process, syscall.SIGSTOP)
	default:
		return c.signal(fault.Process, syscall.SIGCONT)
	}
}

func (c *cluster) signal(instance string, signal syscall.Signal) error {
	for _, p := range c.processes {
		if string(p.instance) == instance {
			return p.signal(signal)
		}
	}
	return errors.Errorf("process %q does not exist", instance)
}
