package hickoryfabric

import (
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/schema/hickoryevent"
)

const (
	// logRate is the limit for the log lines of each event, in lines per second;
	// logBurst is how many lines may be written at once.
	logRate  = 40
	logBurst = 100
)

// failureBuckets are the buckets of failures_before_avoidance.
var failureBuckets = tally.ValueBuckets{1, 2, 3, 4, 6, 8, 12, 16, 24, 32}

// stepRejected counts datagrams that are not a valid packet or frame.
const stepRejected hickorysteering.Step = "rejected"

// stepSocketFailed counts errors of sending and receiving.
const stepSocketFailed hickorysteering.Step = "socketFailed"

// stepEvents maps each step of a decision to its log event.
var stepEvents = map[hickorysteering.Step]hickoryevent.Event{
	hickorysteering.StepOpened:         hickoryevent.FlowOpened,
	hickorysteering.StepRetried:        hickoryevent.FlowRetried,
	hickorysteering.StepRefused:        hickoryevent.FlowRefused,
	hickorysteering.StepWaited:         hickoryevent.FlowWaiting,
	hickorysteering.StepNoRoute:        hickoryevent.FlowUnrouted,
	hickorysteering.StepSearched:       hickoryevent.FlowSearched,
	hickorysteering.StepFound:          hickoryevent.FlowFound,
	hickorysteering.StepNotFound:       hickoryevent.FlowNotFound,
	hickorysteering.StepLost:           hickoryevent.FlowLost,
	hickorysteering.StepUnknown:        hickoryevent.FlowUnknown,
	hickorysteering.StepReturned:       hickoryevent.PacketReturned,
	hickorysteering.StepResumed:        hickoryevent.ProcessPaused,
	hickorysteering.StepAgentSilent:    hickoryevent.AgentSilent,
	hickorysteering.StepAgentHeard:     hickoryevent.AgentHeard,
	hickorysteering.StepUpstreamSilent: hickoryevent.UpstreamSilent,
	hickorysteering.StepUpstreamHeard:  hickoryevent.UpstreamHeard,
	hickorysteering.StepUpstreamCold:   hickoryevent.UpstreamRestarted,

	hickorysteering.StepProbed:         hickoryevent.ProbeSent,
	hickorysteering.StepProbePassedOn:  hickoryevent.ProbePassedOn,
	hickorysteering.StepProbesAnswered: hickoryevent.ProbesAnswered,

	hickorysteering.StepLineEntered:  hickoryevent.FlowInLine,
	hickorysteering.StepLineReleased: hickoryevent.FlowReleased,
	hickorysteering.StepLineRefused:  hickoryevent.FlowLeftLine,

	hickorysteering.StepServiceSaturated: hickoryevent.ServiceSaturated,
	hickorysteering.StepServiceRelieved:  hickoryevent.ServiceRelieved,

	hickorysteering.StepUpstreamFailing:   hickoryevent.UpstreamFailing,
	hickorysteering.StepUpstreamProbation: hickoryevent.UpstreamProbation,
	hickorysteering.StepUpstreamRecovered: hickoryevent.UpstreamRecovered,
	hickorysteering.StepUpstreamSpeed:     hickoryevent.UpstreamSpeedChanged,
}

// recorder counts decisions in the metrics and logs them at a limited rate. It is
// not safe for concurrent use.
type recorder struct {
	scope  tally.Scope
	logger *hickorylog.Logger
	now    func() time.Time

	counters map[counterKey]tally.Counter
	choices  map[choiceKey]tally.Counter
	limiters map[hickoryevent.Event]*lineLimiter
}

type counterKey struct {
	step   hickorysteering.Step
	reason hickorysteering.Reason
}

// lineLimiter limits the rate of log lines of one event.
type lineLimiter struct {
	limiter *rate.Limiter
	// suppressed counts the lines left out since the last line that was written.
	suppressed int
}

func newRecorder(scope tally.Scope, logger *hickorylog.Logger) *recorder {
	return &recorder{
		scope:    scope,
		logger:   logger,
		now:      time.Now,
		counters: map[counterKey]tally.Counter{},
		choices:  map[choiceKey]tally.Counter{},
		limiters: map[hickoryevent.Event]*lineLimiter{},
	}
}

// record counts and logs one decision.
func (r *recorder) record(d *hickorysteering.Decision) {
	r.count(d.Step, d.Reason)
	r.countChoice(&d.Choice)
	r.measureHealth(d)
	r.log(stepEvents[d.Step], func() hickorylog.Fields { return decisionFields(d) })
}

// measureHealth records how many requests failed before an upstream was avoided, and how
// long a failing one was.
func (r *recorder) measureHealth(d *hickorysteering.Decision) {
	if d.Step == hickorysteering.StepUpstreamFailing {
		r.scope.Histogram("failures_before_avoidance", failureBuckets).RecordValue(float64(d.Count))
	}
	if d.Step == hickorysteering.StepUpstreamProbation {
		r.scope.Histogram("time_excluded", hickorymetric.OpeningTimeBuckets).RecordDuration(d.Excluded)
	}
}

func (r *recorder) count(step hickorysteering.Step, reason hickorysteering.Reason) {
	key := counterKey{step: step, reason: reason}
	counter, ok := r.counters[key]
	if !ok {
		counter = r.scope.Tagged(map[string]string{"step": string(step), "reason": reason.String()}).Counter("decisions")
		r.counters[key] = counter
	}
	counter.Inc(1)
}

// log writes a line unless its event is over the rate limit. The next line that is
// written follows a line with the number of those left out.
func (r *recorder) log(event hickoryevent.Event, fields func() hickorylog.Fields) {
	l, ok := r.limiters[event]
	if !ok {
		l = &lineLimiter{limiter: rate.NewLimiter(logRate, logBurst)}
		r.limiters[event] = l
	}
	if !l.limiter.AllowN(r.now(), 1) {
		l.suppressed++
		return
	}
	if l.suppressed > 0 {
		r.logger.Log(hickoryevent.LinesSuppressed, hickorylog.Fields{"of": event.Name, "count": l.suppressed})
		l.suppressed = 0
	}
	r.logger.Log(event, fields())
}

func decisionFields(d *hickorysteering.Decision) hickorylog.Fields {
	fields := hickorylog.Fields{}
	if d.Flow.Source.Port != 0 {
		addFlow(fields, d.Flow)
		fields["copy"] = d.Copy
	}
	if !d.Peer.IsZero() {
		fields["peer"] = d.Peer.String()
	}
	if d.Upstream != "" {
		fields["upstream"] = string(d.Upstream)
		fields["revision"] = d.Revision
		fields["load"] = d.Load
	}
	addChoice(fields, &d.Choice)
	if d.Reason != hickorysteering.ReasonNone {
		fields["reason"] = d.Reason.String()
	}
	if d.Version != 0 {
		fields["version"] = d.Version
	}
	if d.Excluded != 0 {
		fields["excludedSeconds"] = d.Excluded.Seconds()
	}
	if d.Count != 0 {
		fields["count"] = d.Count
	}
	if d.Factor != 0 {
		fields["factor"] = d.Factor
	}
	if d.Waited != 0 {
		fields["waited"] = d.Waited.String()
	}
	return fields
}

// reject counts and logs a received datagram that cannot be decoded.
func (r *recorder) reject(peer hickorymodel.Endpoint, err error) {
	r.count(stepRejected, hickorysteering.ReasonNone)
	r.log(hickoryevent.PacketRejected, func() hickorylog.Fields {
		return hickorylog.Fields{"peer": peer.String(), "error": err.Error()}
	})
}

// addFlow adds the caller's and the service address of a flow to the fields.
func addFlow(fields hickorylog.Fields, flow hickorymodel.FlowKey) {
	fields["caller"] = flow.Source.String()
	fields["address"] = flow.Destination.String()
}
