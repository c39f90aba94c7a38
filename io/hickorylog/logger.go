// Package hickorylog writes the numbered events of the log catalogue,
// schema/event.json.
package hickorylog

import (
	"io"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"hickoryworks/io/hickoryclock"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
)

// Fields are the named details of one log line.
type Fields = log.Fields

// Logger writes the events of one instance.
type Logger struct {
	logger *log.Logger
	base   log.Fields
	// sinceStart returns the time since the process began.
	sinceStart func() time.Duration
}

// New returns a logger that writes one JSON object a line.
func New(out io.Writer, instance hickoryid.InstanceID) *Logger {
	return &Logger{
		logger: &log.Logger{Handler: json.New(out), Level: log.InfoLevel},
		base:   log.Fields{"instance": string(instance)},

		sinceStart: hickoryclock.SinceStart,
	}
}

// Log writes an event.
func (l *Logger) Log(event hickoryevent.Event, fields Fields) {
	entry := l.logger.WithFields(l.base).WithFields(fields).WithFields(log.Fields{
		"event": event.Number,
		"name":  event.Name,
	})
	switch event.Level {
	case hickoryevent.LevelError:
		entry.Error(event.Text)
	case hickoryevent.LevelWarn:
		entry.Warn(event.Text)
	default:
		entry.Info(event.Text)
	}
}

// LogStartStep writes an event of the start of a process, with the time in milliseconds
// since the process began.
func (l *Logger) LogStartStep(event hickoryevent.Event, fields Fields) {
	all := Fields{"sinceStartMillis": l.sinceStart().Milliseconds()}
	for name, value := range fields {
		all[name] = value
	}
	l.Log(event, all)
}

// LogError writes an event with the error that caused it.
func (l *Logger) LogError(event hickoryevent.Event, err error) {
	l.Log(event, Fields{"error": err.Error()})
}
