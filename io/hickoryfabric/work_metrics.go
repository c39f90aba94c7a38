package hickoryfabric

import (
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/core/hickorywork"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/schema/hickoryid"
)

// workMetrics exports what an agent's work model estimates beside what it measures.
type workMetrics struct {
	// workTime and slotWait count measured times; workError and waitError count by how
	// much the estimates at the delivery of the request were wrong.
	workTime  tally.Histogram
	workError tally.Histogram
	slotWait  tally.Histogram
	waitError tally.Histogram

	serviceTime tally.Gauge
	remaining   tally.Gauge
	wait        tally.Gauge
	samples     tally.Gauge
	misordered  tally.Gauge
}

func newWorkMetrics(scope tally.Scope, service hickoryid.ServiceName) *workMetrics {
	tagged := scope.Tagged(map[string]string{"service": string(service)})
	histogram := func(name string) tally.Histogram {
		return tagged.Histogram(name, hickorymetric.OpeningTimeBuckets)
	}
	return &workMetrics{
		workTime:    histogram("work_time"),
		workError:   histogram("work_time_error"),
		slotWait:    histogram("slot_wait"),
		waitError:   histogram("slot_wait_error"),
		serviceTime: tagged.Gauge("service_time"),
		remaining:   tagged.Gauge("work_remaining"),
		wait:        tagged.Gauge("expected_wait"),
		samples:     tagged.Gauge("work_samples"),
		misordered:  tagged.Gauge("misordered_answers"),
	}
}

// addSample counts a measured request.
func (m *workMetrics) addSample(s *hickorywork.Sample) {
	m.workTime.RecordDuration(s.Worked)
	m.workError.RecordDuration((s.Worked - s.ExpectedWork).Abs())
	m.slotWait.RecordDuration(s.Waited)
	m.waitError.RecordDuration((s.Waited - s.ExpectedWait).Abs())
}

// update sets the gauges, whose times are in seconds.
func (m *workMetrics) update(now hickorymodel.Instant, steering *hickorysteering.Agent) {
	work := steering.CurrentWork(now)
	m.serviceTime.Update(inSeconds(work.ServiceTime))
	m.remaining.Update(inSeconds(work.Remaining))
	m.wait.Update(inSeconds(work.Wait))
	m.samples.Update(float64(work.Samples))
	m.misordered.Update(float64(steering.MisorderedAnswers()))
}

func inSeconds(microseconds uint32) float64 {
	return (time.Duration(microseconds) * time.Microsecond).Seconds()
}
