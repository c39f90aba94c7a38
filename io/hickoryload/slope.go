package hickoryload

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryexperiment"
)

// Names of the sizes from which the slopes are computed. From small to medium only
// the packets increase, from medium to large the new flows, and from small to many
// the open flows. Differences of two runs exclude the cost of an idle process.
const (
	sizeSmall  = "small"
	sizeMedium = "medium"
	sizeLarge  = "large"
	sizeMany   = "many"
)

// costSlopes holds the marginal costs of one role: the additional cost of one more
// packet, new flow or open flow.
type costSlopes struct {
	// packet and newFlow are processor times in microseconds.
	packet  float64
	newFlow float64
	// flowBytes is the memory of an open flow in bytes.
	flowBytes float64
}

// WriteSlopes writes the slopes of each build that was measured at all four sizes.
func WriteSlopes(out io.Writer, result *hickoryexperiment.Result) error {
	builds := map[string]map[string]*hickoryexperiment.Run{}
	var order []string
	for i := range result.Runs {
		run := &result.Runs[i]
		if builds[run.Build] == nil {
			builds[run.Build] = map[string]*hickoryexperiment.Run{}
			order = append(order, run.Build)
		}
		builds[run.Build][run.Size.Name] = run
	}
	for _, build := range order {
		sizes := builds[build]
		if sizes[sizeSmall] == nil || sizes[sizeMedium] == nil || sizes[sizeLarge] == nil || sizes[sizeMany] == nil {
			continue
		}
		balancer := computeSlopes(sizes, func(r *hickoryexperiment.Run) *hickoryexperiment.RoleCost { return &r.Balancer })
		agent := computeSlopes(sizes, func(r *hickoryexperiment.Run) *hickoryexperiment.RoleCost { return &r.Agent })
		_, err := fmt.Fprintf(out, "slopes of %s: balancer %.1f us a packet, %.1f us a new flow; agent %.1f us a packet, %.1f us a new flow, %.0f bytes a flow\n",
			build, balancer.packet, balancer.newFlow, agent.packet, agent.newFlow, agent.flowBytes)
		if err != nil {
			return errors.Wrap(err, "write slopes")
		}
	}
	return nil
}

// computeSlopes returns the slopes of the role that cost selects.
func computeSlopes(sizes map[string]*hickoryexperiment.Run, cost func(*hickoryexperiment.Run) *hickoryexperiment.RoleCost) costSlopes {
	small, medium, large, many := sizes[sizeSmall], sizes[sizeMedium], sizes[sizeLarge], sizes[sizeMany]
	cores := func(run *hickoryexperiment.Run) float64 { return cost(run).ProcessorSeconds / run.Seconds }
	packet := (cores(medium) - cores(small)) / (medium.Packets - small.Packets)
	// The packets of new flows are included in Packets, so their cost is subtracted.
	newFlow := (cores(large) - cores(medium) - packet*(large.Packets-medium.Packets)) / (large.NewFlows - medium.NewFlows)
	bytes := float64(cost(many).ResidentBytes-cost(small).ResidentBytes) / float64(many.Flows-small.Flows)
	return costSlopes{packet: packet * microseconds, newFlow: newFlow * microseconds, flowBytes: bytes}
}
