package hickoryload

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryexperiment"
	"hickoryworks/schema/hickorypayload"
)

const (
	// openTimeout bounds the wait until the flows of a run are open.
	openTimeout  = 40 * time.Second
	pollInterval = 200 * time.Millisecond
)

// Build is a set of programs to measure. Binaries is their folder.
type Build struct {
	Name     string
	Binaries string
}

// Run measures each size of an experiment with all builds, one after the other.
// progress is called with one line before each run.
func Run(ctx context.Context, experiment *hickoryexperiment.Experiment, builds []Build, progress func(string)) (hickoryexperiment.Result, error) {
	result := hickoryexperiment.Result{Seed: experiment.Seed, Runs: []hickoryexperiment.Run{}}
	for _, size := range experiment.Sizes {
		for _, build := range builds {
			progress("size " + size.Name + ", build " + build.Name)
			run, err := measureRun(ctx, experiment, size, build)
			if err != nil {
				return result, errors.Wrapf(err, "size %s, build %s", size.Name, build.Name)
			}
			result.Runs = append(result.Runs, run)
		}
	}
	return result, nil
}

// measureRun starts a cluster of one size, measures it and stops it.
func measureRun(ctx context.Context, experiment *hickoryexperiment.Experiment, size hickoryexperiment.Size, build Build) (hickoryexperiment.Run, error) {
	directory, err := os.MkdirTemp("", "hickory-load")
	if err != nil {
		return hickoryexperiment.Run{}, errors.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(directory) }()
	c, err := newCluster(directory, build.Binaries, size, experiment.Seed)
	if err != nil {
		return hickoryexperiment.Run{}, err
	}
	defer c.stop()
	if err := c.start(ctx); err != nil {
		return hickoryexperiment.Run{}, err
	}
	before, err := c.sample(ctx)
	if err != nil {
		return hickoryexperiment.Run{}, err
	}
	if err := c.injectFaults(ctx, experiment); err != nil {
		return hickoryexperiment.Run{}, err
	}
	after, err := c.sample(ctx)
	if err != nil {
		return hickoryexperiment.Run{}, err
	}
	return runResult(size, build, &before, &after), nil
}

// start starts all processes and waits until the long-lived flows are open.
func (c *cluster) start(ctx context.Context) error {
	for _, p := range c.processes {
		if err := p.start(); err != nil {
			return err
		}
	}
	limit := time.Now().Add(openTimeout)
	for time.Now().Before(limit) {
		if err := wait(ctx, pollInterval); err != nil {
			return err
		}
		report, err := c.report(ctx)
		if err == nil && report.Open >= c.size.Flows {
			return nil
		}
	}
	return errors.Errorf("not all %d flows opened within %s", c.size.Flows, openTimeout)
}

func (c *cluster) stop() {
	for _, p := range c.processes {
		p.stop()
	}
}

// report reads the report of the stand-ins.
func (c *cluster) report(ctx context.Context) (hickorypayload.StandinReport, error) {
	var report hickorypayload.StandinReport
	err := c.call(ctx, http.MethodGet, "/report", &report)
	return report, err
}

// call sends a request to the stand-ins and decodes the response into result, if
// there is one.
func (c *cluster) call(ctx context.Context, method, path string, result json.Unmarshaler) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.standin.ReportEndpoint)+path, nil)
	if err != nil {
		return errors.Wrap(err, "create request to the stand-ins")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "send request to the stand-ins")
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(result), "decode the response of the stand-ins")
}

// wait returns after the duration, or earlier with the error of the context.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(max(d, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
