// Package hickoryprogram holds the code that the main packages share: signals, settings
// files and exit codes.
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

// closeTimeout is the maximum time that Run waits for Close after a second signal.
const closeTimeout = time.Second

// Daemon holds the functions of a program that runs until a signal stops it.
type Daemon struct {
	// Start returns when the daemon runs.
	Start func(context.Context) error
	// Drain returns when the daemon can end without breaking a flow. It must limit
	// its own duration.
	Drain func(context.Context) error
	// Close ends the daemon and returns when its goroutines have ended.
	Close func() error
	// Reload reads the settings again and applies them. It is called for each value
	// received from Reloads.
	Reload func()
	// Reloads is nil for a daemon that cannot reload. SIGHUP then has the effect that
	// it had when the process started.
	Reloads <-chan struct{}
}

// Run starts a daemon and waits for SIGTERM or SIGINT. The first signal starts Drain,
// which is followed by Close. A second signal cancels Drain and limits Close to
// closeTimeout.
func Run(ctx context.Context, daemon Daemon, logger *hickorylog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	if err := daemon.Start(ctx); err != nil {
		return errors.Wrap(err, "start")
	}
	logger.LogStartStep(hickoryevent.ProgramStarted, nil)
	awaitStop(ctx, daemon, signals)
	logger.Log(hickoryevent.ProgramStopping, nil)
	secondSignal, drainErr := drain(ctx, daemon, signals)
	closeErr := closeDaemon(daemon, secondSignal, signals)
	logger.Log(hickoryevent.ProgramStopped, nil)
	if drainErr != nil {
		return drainErr
	}
	return closeErr
}

// awaitStop returns at the first signal that stops the daemon, or when ctx ends. Until
// then it calls Reload for each value of Reloads.
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

// drain runs the daemon's Drain. It reports whether a second signal has canceled it.
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

// closeDaemon closes the daemon and returns when that is done or a further signal
// arrives. If secondSignal is set, it waits for closeTimeout at most.
func closeDaemon(daemon Daemon, secondSignal bool, signals <-chan os.Signal) error {
	var timeout <-chan time.Time
	if secondSignal {
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
