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
	// failureLogInterval and failureLogBurst keep a partition from filling the log.
	failureLogInterval = 10 * time.Second
	failureLogBurst    = 5
)

func (r *Relay) log(report hickoryconfig.LogEntry) {
	fields := hickorylog.Fields{"team": string(report.Team), "version": int(report.Version)}
	switch report.Kind {
	case hickoryconfig.LogAccepted:
		r.parts.Logger.Log(hickoryevent.SectionAccepted, fields)
	case hickoryconfig.LogRejected:
		fields["problems"] = problemTexts(report)
		r.parts.Logger.Log(hickoryevent.SectionRejected, fields)
	case hickoryconfig.LogRefused:
		claim := report.Refusal
		r.parts.Logger.Log(hickoryevent.AddressRefused, hickorylog.Fields{
			"team":    string(claim.Team),
			"service": string(claim.Service),
			"address": claim.Address.Socket.String(),
			"owner":   string(claim.Owner),
			"reason":  claim.RefusalReason.String(),
		})
	case hickoryconfig.LogFresh:
		r.parts.Logger.Log(hickoryevent.BecameFresh, nil)
	case hickoryconfig.LogStale:
		r.parts.Logger.Log(hickoryevent.BecameStale, nil)
	case hickoryconfig.LogInService:
		r.parts.Logger.Log(hickoryevent.EnteredService, nil)
	}
}

// problemTexts formats the problems of a rejected section with their lines.
func problemTexts(report hickoryconfig.LogEntry) []string {
	text, err := Unpack(report.Content)
	texts := make([]string, 0, len(report.Problems))
	for _, problem := range report.Problems {
		if err == nil && problem.Path != "" {
			problem.Line = hickoryyaml.Line(text, problem.Path)
		}
		texts = append(texts, problem.String())
	}
	return texts
}

// logFailure logs a failed call, at most as often as the limit allows.
func (r *Relay) logFailure(event hickoryevent.Event, fields hickorylog.Fields) {
	if r.failures.Allow() {
		r.parts.Logger.Log(event, fields)
	}
}

// meterCounters copies the byte counts of control connections to metrics.
type meterCounters struct {
	meter          *hickoryrpc.Meter
	sent, received tally.Counter
	// sentBefore and receivedBefore are the counts that were copied already.
	sentBefore, receivedBefore uint64
}

func newMeterCounters(scope tally.Scope, meter *hickoryrpc.Meter) *meterCounters {
	return &meterCounters{
		meter:    meter,
		sent:     scope.Counter("control_bytes_sent"),
		received: scope.Counter("control_bytes_received"),
	}
}

func (r *Relay) countBytes() {
	for _, m := range r.meters {
		sent, received := m.meter.Sent(), m.meter.Received()
		m.sent.Inc(int64(sent - m.sentBefore))
		m.received.Inc(int64(received - m.receivedBefore))
		m.sentBefore, m.receivedBefore = sent, received
	}
}
