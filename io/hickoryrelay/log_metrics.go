package hickoryrelay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickoryyaml"
	"hickoryworks/schema/hickoryevent"
)

const (
	// failureLogInterval and failureLogBurst limit the log lines about failed calls,
	// of which a network partition causes many.
	failureLogInterval = 10 * time.Second
	failureLogBurst    = 5
)

// log logs a decision of the state machine as a numbered event.
func (r *Relay) log(logEntry hickoryconfig.LogEntry) {
	fields := hickorylog.Fields{"team": string(logEntry.Team), "version": int(logEntry.Version)}
	switch logEntry.Kind {
	case hickoryconfig.LogAccepted:
		r.parts.Logger.Log(hickoryevent.SectionAccepted, fields)
	case hickoryconfig.LogRejected:
		fields["problems"] = problemTexts(logEntry)
		r.parts.Logger.Log(hickoryevent.SectionRejected, fields)
	case hickoryconfig.LogRefused:
		refusal := logEntry.Refusal
		r.parts.Logger.Log(hickoryevent.AddressRefused, hickorylog.Fields{
			"team":    string(refusal.Team),
			"service": string(refusal.Service),
			"address": refusal.Address.Socket.String(),
			"owner":   string(refusal.Owner),
			"reason":  refusal.RefusalReason.String(),
		})
	case hickoryconfig.LogFresh:
		r.parts.Logger.Log(hickoryevent.BecameFresh, nil)
	case hickoryconfig.LogStale:
		r.parts.Logger.Log(hickoryevent.BecameStale, nil)
	case hickoryconfig.LogInService:
		r.parts.Logger.Log(hickoryevent.EnteredService, nil)
	}
}

// problemTexts formats the problems of a rejected section, with their lines where
// these can be found.
func problemTexts(logEntry hickoryconfig.LogEntry) []string {
	text, err := Unpack(logEntry.Content)
	texts := make([]string, 0, len(logEntry.Problems))
	for _, problem := range logEntry.Problems {
		if err == nil && problem.Path != "" {
			problem.Line = hickoryyaml.Line(text, problem.Path)
		}
		texts = append(texts, problem.String())
	}
	return texts
}

// logFailure logs a failed call, or drops the line when failureLimiter doesn't
// allow it.
func (r *Relay) logFailure(event hickoryevent.Event, fields hickorylog.Fields) {
	if r.failureLimiter.Allow() {
		r.parts.Logger.Log(event, fields)
	}
}

// meterCounters holds the metrics to which the byte counts of a meter are copied.
type meterCounters struct {
	meter          *hickoryrpc.Meter
	sent, received tally.Counter
	// sentBefore and receivedBefore are the counts at the last copy.
	sentBefore, receivedBefore uint64
}

func newMeterCounters(scope tally.Scope, meter *hickoryrpc.Meter) *meterCounters {
	return &meterCounters{
		meter:    meter,
		sent:     scope.Counter("control_bytes_sent"),
		received: scope.Counter("control_bytes_received"),
	}
}

// countBytes adds the bytes since the last call to the metrics.
func (r *Relay) countBytes() {
	for _, m := range r.meters {
		sent, received := m.meter.Sent(), m.meter.Received()
		m.sent.Inc(int64(sent - m.sentBefore))
		m.received.Inc(int64(received - m.receivedBefore))
		m.sentBefore, m.receivedBefore = sent, received
	}
}
