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
	// openTime bounds the wait until the flows of a run are open.
	openTimeout  = 40 * time.Second
	pollInterval = 200 * time.Millisecond
)

// Build is a folder with programs to measure.
type Build struct {
	Name     string
	Binaries string
}

// Run measures all sizes of an experiment with each build in turn.
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

func measureRun(ctx context.Context, experiment *hickoryexperiment.Experiment, size hickoryexperiment.Size, build Build) (hickoryexperiment.Run, error) {
	directory, err := os.MkdirTemp("", "hickory-load")
	if err != nil {
		return hickoryexperiment.Run{}, errors.Wrap(err, "create folder")
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

// start runs all processes and waits until the long-lived flows are open.
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

func (c *cluster) report(ctx context.Context) (hickorypayload.StandinReport, error) {
	var report hickorypayload.StandinReport
	err := c.call(ctx, http.MethodGet, "/report", &report)
	return report, err
}

func (c *cluster) call(ctx context.Context, method, path string, result json.Unmarshaler) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(c.standin.ReportEndpoint)+path, nil)
	if err != nil {
		return errors.Wrap(err, "call stand-ins")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrap(err, "call stand-ins")
	}
	defer func() { _ = response.Body.Close() }()
	if result == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(result), "read report")
}

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
