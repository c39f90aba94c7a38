package hickoryload

import (
	"context"
	"time"

	"hickoryworks/schema/hickoryexperiment"
	"hickoryworks/schema/hickorypayload"
)

// sample holds the counts and the costs of a cluster up to a time.
type sample struct {
	at     time.Time
	report hickorypayload.StandinReport
	roles  map[role]hickoryexperiment.RoleCost
}

// sample reads the report of the stand-ins and the usage of all running processes.
func (c *cluster) sample(ctx context.Context) (sample, error) {
	report, err := c.report(ctx)
	if err != nil {
		return sample{}, err
	}
	s := sample{at: time.Now(), report: report, roles: map[role]hickoryexperiment.RoleCost{}}
	for _, p := range c.processes {
		used, ok := p.usage()
		if !ok {
			continue
		}
		cost := s.roles[p.role]
		cost.Processes++
		cost.ProcessorSeconds += used.processorSeconds
		cost.ResidentBytes += used.residentBytes
		s.roles[p.role] = cost
	}
	return s, nil
}

// runResult returns the result of a run from the samples at its start and end. The
// processor time of a killed process is missing in the second sample, so runs with
// kills can't be used for slopes.
func runResult(size hickoryexperiment.Size, build Build, before, after *sample) hickoryexperiment.Run {
	seconds := after.at.Sub(before.at).Seconds()
	cost := func(r role) hickoryexperiment.RoleCost {
		cost := after.roles[r]
		cost.ProcessorSeconds -= before.roles[r].ProcessorSeconds
		return cost
	}
	return hickoryexperiment.Run{
		Size:                  size,
		Build:                 build.Name,
		Seconds:               seconds,
		Flows:                 after.report.Open,
		NewFlows:              float64(after.report.Opened-before.report.Opened) / seconds,
		Packets:               float64(after.report.Segments-before.report.Segments) / seconds,
		Broken:                after.report.Broken,
		Refused:               after.report.Refused,
		LatencyP50Microsecond: after.report.LatencyP50Microsecond,
		LatencyP99Microsecond: after.report.LatencyP99Microsecond,
		ControlBytesSecond:    float64(after.report.PlatformBytes-before.report.PlatformBytes) / seconds,
		Balancer:              cost(roleBalancer),
		Agent:                 cost(roleAgent),
	}
}
