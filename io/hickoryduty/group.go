// Package hickoryduty runs the duties of a program under a supervisor. A duty is a
// goroutine with one task, such as receiving from a socket. It runs as long as the
// program, and the supervisor restarts it when it fails.
package hickoryduty

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryevent"
)

const (
	// failureBackoff is the pause before the restart of duties that keep failing. It
	// keeps a duty that fails immediately from using a whole core.
	failureBackoff = 200 * time.Millisecond
	// stopTimeout is the maximum time that Close waits for the duties to end.
	stopTimeout = 5 * time.Second
)

// Group is a set of duties that start and end together.
type Group struct {
	supervisor *suture.Supervisor
	cancel     context.CancelFunc
	// ended receives one value when all duties have ended. Close reads it.
	ended <-chan error
}

// New returns a group without duties. Failures of duties are logged.
func New(name string, logger *hickorylog.Logger) *Group {
	spec := suture.Spec{
		EventHook: func(event suture.Event) {
			logger.Log(hickoryevent.DutyFailed, hickorylog.Fields{"error": event.String()})
		},
		FailureBackoff: failureBackoff,
		Timeout:        stopTimeout,
	}
	return &Group{supervisor: suture.New(name, spec)}
}

// Add adds a duty; it must be called before Start. The function serve runs the duty
// until the context ends. When it returns earlier, it is called again. The name
// identifies the duty in the log.
func (g *Group) Add(name string, serve func(context.Context) error) {
	g.supervisor.Add(duty{name: name, serve: serve})
}

// Start starts the duties. They run until the context ends or Close is called.
func (g *Group) Start(ctx context.Context) {
	ctx, g.cancel = context.WithCancel(ctx)
	g.ended = g.supervisor.ServeBackground(ctx)
}

// Close ends all duties and waits for them. It fails when one does not end within
// stopTimeout. On a group that is nil or was never started it does nothing.
func (g *Group) Close() error {
	if g == nil || g.cancel == nil {
		return nil
	}
	g.cancel()
	err := <-g.ended
	report, _ := g.supervisor.UnstoppedServiceReport()
	if len(report) > 0 {
		names := make([]string, 0, len(report))
		for _, unstopped := range report {
			names = append(names, unstopped.Name)
		}
		return errors.Errorf("stop duties: %s did not end within %s", strings.Join(names, ", "), stopTimeout)
	}
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return errors.Wrap(err, "stop duties")
}

// duty adapts a function to suture.Service, the interface of supervised goroutines.
type duty struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the duty. It returns suture.ErrDoNotRestart when the context has ended.
func (d duty) Serve(ctx context.Context) error {
	err := d.serve(ctx)
	if ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return errors.Wrapf(err, "duty %s", d.name)
}

// String returns the name by which the supervisor reports the duty.
func (d duty) String() string {
	return d.name
}
