package hickorystandin

import (
	"slices"
	"time"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

// CallerReport holds the counts of a caller so far.
type CallerReport struct {
	// States counts the flows of each service by state; LongStates counts the
	// long-lived ones only.
	States     map[hickoryid.ServiceName]map[FlowState]int
	LongStates map[hickoryid.ServiceName]map[FlowState]int
	// OpenByUpstream counts the open flows of each upstream.
	OpenByUpstream map[hickoryid.UpstreamID]int
	// BrokenByUpstream counts the broken flows by the upstream that replied to
	// them last.
	BrokenByUpstream map[hickoryid.UpstreamID]int
	// Opened counts flows that were opened; Unanswered counts open flows whose
	// current request was sent more than once and has no reply yet.
	Opened     int
	Unanswered int
	// Retries counts segments that were sent again.
	Retries  int
	Requests int
	// Segments counts all packets that were sent.
	Segments int
	// NotRun lists the requests that an upstream refused.
	NotRun []hickorypayload.RequestNumber
	// FirstOpenedAt is the time at which the first flow opened.
	FirstOpenedAt time.Time
	// Foreign counts replies that were not the complete reply to a request of the
	// flow.
	Foreign    int
	LatencyP50 time.Duration
	LatencyP99 time.Duration
}

// Count returns the number of flows in a state, of all services.
func (r *CallerReport) Count(state FlowState) int {
	return countInState(r.States, state)
}

// CountLong returns the number of long-lived flows in a state, of all services.
func (r *CallerReport) CountLong(state FlowState) int {
	return countInState(r.LongStates, state)
}

func countInState(services map[hickoryid.ServiceName]map[FlowState]int, state FlowState) int {
	total := 0
	for _, states := range services {
		total += states[state]
	}
	return total
}

// Broken returns the number of flows that failed after they had opened.
func (r *CallerReport) Broken() int {
	total := 0
	for _, states := range r.States {
		for state, count := range states {
			if state.Broken() {
				total += count
			}
		}
	}
	return total
}

// Report returns the counts so far.
func (c *Caller) Report() CallerReport {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	report := CallerReport{
		States:           map[hickoryid.ServiceName]map[FlowState]int{},
		LongStates:       map[hickoryid.ServiceName]map[FlowState]int{},
		OpenByUpstream:   map[hickoryid.UpstreamID]int{},
		BrokenByUpstream: map[hickoryid.UpstreamID]int{},
		Retries:          c.counts.retries,
		Requests:         c.counts.requests,
		Segments:         c.counts.segments,
		NotRun:           slices.Clone(c.notRun),
		FirstOpenedAt:    c.firstOpenedAt,
		Foreign:          c.counts.foreign,
		LatencyP50:       time.Duration(c.latency.ValueAtQuantile(50)) * time.Microsecond,
		LatencyP99:       time.Duration(c.latency.ValueAtQuantile(99)) * time.Microsecond,
	}
	for _, flow := range c.flows {
		report.add(flow)
	}
	return report
}

func (r *CallerReport) add(flow *callerFlow) {
	countFlow(r.States, flow)
	if flow.requests == 0 {
		countFlow(r.LongStates, flow)
	}
	if flow.state != FlowOpening && flow.state != FlowRefused {
		r.Opened++
	}
	if flow.state.Broken() {
		r.BrokenByUpstream[flow.upstream]++
	}
	if flow.state == FlowOpen && flow.upstream != "" {
		r.OpenByUpstream[flow.upstream]++
	}
	if flow.state == FlowOpen && flow.waiting && flow.attempts > 1 {
		r.Unanswered++
	}
}

func countFlow(services map[hickoryid.ServiceName]map[FlowState]int, flow *callerFlow) {
	states := services[flow.target.Service]
	if states == nil {
		states = map[FlowState]int{}
		services[flow.target.Service] = states
	}
	states[flow.state]++
}
