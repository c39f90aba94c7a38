package hickoryload

import (
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"hickoryworks/schema/hickoryexperiment"
)

// chart is a scatter plot of one figure of all runs, with a series for each build.
type chart struct {
	file  string
	title string
	y     string
	value func(*hickoryexperiment.Run) float64
}

func charts() []chart {
	return []chart{
		{file: "balancer-processor.svg", title: "Processor time of all balancers", y: "cores",
			value: func(r *hickoryexperiment.Run) float64 { return r.Balancer.ProcessorSeconds / r.Seconds }},
		{file: "agent-processor.svg", title: "Processor time of all agents", y: "cores",
			value: func(r *hickoryexperiment.Run) float64 { return r.Agent.ProcessorSeconds / r.Seconds }},
		{file: "agent-memory.svg", title: "Resident memory of all agents", y: "MiB",
			value: func(r *hickoryexperiment.Run) float64 { return float64(r.Agent.ResidentBytes) / mebibyte }},
		{file: "latency.svg", title: "Latency p99", y: "ms",
			value: func(r *hickoryexperiment.Run) float64 { return float64(r.LatencyP99Microsecond) / 1000 }},
	}
}

// WritePlots writes one SVG chart for each figure into a folder.
func WritePlots(directory string, result *hickoryexperiment.Result) error {
	for _, c := range charts() {
		if err := c.write(directory, result); err != nil {
			return errors.Wrapf(err, "write plot %s", c.file)
		}
	}
	return nil
}

func (c *chart) write(directory string, result *hickoryexperiment.Result) error {
	p := plot.New()
	p.Title.Text = c.title
	p.X.Label.Text = "packets a second"
	p.Y.Label.Text = c.y
	points := map[string]plotter.XYs{}
	var builds []string
	for i := range result.Runs {
		run := &result.Runs[i]
		if points[run.Build] == nil {
			builds = append(builds, run.Build)
		}
		points[run.Build] = append(points[run.Build], plotter.XY{X: run.Packets, Y: c.value(run)})
	}
	var series []any
	for _, build := range builds {
		series = append(series, build, points[build])
	}
	if err := plotutil.AddScatters(p, series...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(directory, c.file))
}
