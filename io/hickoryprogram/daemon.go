// Package hickoryprogram holds what the mains of the daemons share: signals,
// settings and exit codes.
package hickoryprogram

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryevent"
)

// closeTimeout bounds the end of the duties after a second signal.
const closeTimeout = time.Second

// Daemon is a program that runs until it is told to stop.
type Daemon struct {
	Start func(context.Context) error
	// Drain returns when nothing depends on the daemon any more. It bounds its
	// own time.
	Drain func(context.Context) error
	Close func() error
	// Reload takes changed settings at each value of Reloads. Without Reloads,
	// SIGHUP keeps the effect that it had at the start.
	Reload  func()
	Reloads <-chan struct{}
}

// Run starts a daemon and waits for a signal. The first signal starts a
// graceful stop, the second one ends it at once.
func Run(ctx context.Context, daemon Daemon, logger *hickorylog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := daemon.Start(ctx); err != nil {
		return errors.Wrap(err, "start")
	}
	logger.Log(hickoryevent.ProgramStarted, nil)
	awaitStop(ctx, daemon, signals)
	logger.Log(hickoryevent.ProgramStopping, nil)
	hurry, drainErr := drain(ctx, daemon, signals)
	closeErr := closeDaemon(daemon, hurry, signals)
	logger.Log(hickoryevent.ProgramStopped, nil)
	if drainErr != nil {
		return drainErr
	}
	return closeErr
}

// awaitStop waits for the first signal that stops the daemon, and reloads its
// settings on SIGHUP.
func awaitStop(ctx context.Context, daemon Daemon, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			return
		case <-ctx.Done():
			return
		case <-daemon.Reloads:
			daemon.Reload()
		}
	}
}

// drain reports whether a second signal ended the drain.
func drain(ctx context.Context, daemon Daemon, signals <-chan os.Signal) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func(ctx context.Context) {
		ended <- daemon.Drain(ctx)
	}(ctx)
	select {
	case err := <-ended:
		return false, errors.Wrap(err, "drain")
	case <-signals:
		cancel()
		return true, errors.Wrap(<-ended, "drain: ended by a second signal")
	}
}

// closeDaemon waits until the daemon is closed, or until a further signal. After
// a second signal it waits for closeTimeout at most.
func closeDaemon(daemon Daemon, hurry bool, signals <-chan os.Signal) error {
	var timeout <-chan time.Time
	if hurry {
		timer := time.NewTimer(closeTimeout)
		defer timer.Stop()
		timeout = timer.C
	}
	ended := make(chan error, 1)
	go func(_ context.Context) {
		ended <- daemon.Close()
	}(context.Background())
	select {
	case err := <-ended:
		return errors.Wrap(err, "close")
	case <-signals:
		return errors.New("close: ended by a second signal")
	case <-timeout:
		return errors.Errorf("close: not done %s after a second signal", closeTimeout)
	}
}
