package hickoryload

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryexperiment"
)

const (
	microseconds = 1e6
	mebibyte     = 1 << 20
)

// WriteTable writes a result as a table for people.
func WriteTable(out io.Writer, result *hickoryexperiment.Result) error {
	lines := []string{"size\tbuild\tflows\tnew flows/s\tpackets/s\tbroken\trefused\tp50 us\tp99 us\tcontrol B/s\tbalancer cpu\tbalancer us/packet\tbalancer MiB\tagent cpu\tagent us/packet\tagent MiB"}
	for i := range result.Runs {
		run := &result.Runs[i]
		lines = append(lines, fmt.Sprintf("%s\t%s\t%d\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%.0f\t%s\t%s",
			run.Size.Name, run.Build, run.Flows, run.NewFlows, run.Packets, run.Broken, run.Refused,
			run.LatencyP50Microsecond, run.LatencyP99Microsecond, run.ControlBytesSecond,
			roleText(run, &run.Balancer), roleText(run, &run.Agent)))
	}
	writer := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, line := range lines {
		if _, err := fmt.Fprintln(writer, line+"\t"); err != nil {
			return errors.Wrap(err, "write table")
		}
	}
	return errors.Wrap(writer.Flush(), "write table")
}

// roleText returns three columns of a role: the processor time of all its processes
// in cores, the processor time in microseconds for each packet of the callers, and
// the mean memory of its processes in MiB.
func roleText(run *hickoryexperiment.Run, cost *hickoryexperiment.RoleCost) string {
	packets := run.Packets * run.Seconds
	return fmt.Sprintf("%.3f\t%.1f\t%.1f", cost.ProcessorSeconds/run.Seconds,
		cost.ProcessorSeconds/packets*microseconds,
		float64(cost.ResidentBytes)/float64(cost.Processes)/mebibyte)
}
