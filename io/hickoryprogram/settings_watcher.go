package hickoryprogram

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// checkInterval is the time between two checks whether the settings file has changed.
// The file may change without a signal.
const checkInterval = 2 * time.Second

// SettingsWatcher requests a reload of a daemon's settings at SIGHUP, and when the
// settings file has changed.
type SettingsWatcher struct {
	path     string
	interval time.Duration
	signals  chan os.Signal
	// items holds at most one reload request. Further requests are dropped until it is
	// received, because one reload covers them all.
	items  chan struct{}
	cancel context.CancelFunc
	// ended receives the result of run; Close waits for it.
	ended chan error
}

// SettingsWatcherOption changes a SettingsWatcher while it is created.
type SettingsWatcherOption func(*SettingsWatcher)

// WithCheckInterval sets the time between two checks of the settings file.
func WithCheckInterval(interval time.Duration) SettingsWatcherOption {
	return func(w *SettingsWatcher) {
		w.interval = interval
	}
}

// WatchSettings starts to handle SIGHUP and to watch a settings file. A daemon calls it
// before it reads the file, so that no change is missed.
func WatchSettings(ctx context.Context, path string, options ...SettingsWatcherOption) *SettingsWatcher {
	ctx, cancel := context.WithCancel(ctx)
	w := &SettingsWatcher{
		path:     path,
		interval: checkInterval,
		signals:  make(chan os.Signal, 1),
		items:    make(chan struct{}, 1),
		cancel:   cancel,
		ended:    make(chan error, 1),
	}
	for _, option := range options {
		option(w)
	}
	signal.Notify(w.signals, syscall.SIGHUP)
	last := w.fileState()
	go func(ctx context.Context) {
		w.ended <- w.run(ctx, last)
	}(ctx)
	return w
}

// Items returns the channel of the reload requests.
func (w *SettingsWatcher) Items() <-chan struct{} {
	return w.items
}

// Close ends the goroutine and waits for it. The handler of SIGHUP stays registered, so
// that a later SIGHUP does not end the process.
func (w *SettingsWatcher) Close() error {
	w.cancel()
	return <-w.ended
}

// fileState holds the attributes of a file that are compared to detect a change. It is
// zero for a file that cannot be read.
type fileState struct {
	modified time.Time
	size     int64
}

// fileState returns the state of the settings file. It returns no error, because
// reading the settings reports one.
func (w *SettingsWatcher) fileState() fileState {
	info, err := os.Stat(w.path)
	if err != nil {
		return fileState{}
	}
	return fileState{modified: info.ModTime(), size: info.Size()}
}

func (w *SettingsWatcher) run(ctx context.Context, last fileState) error {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.signals:
			last = w.fileState()
			w.requestReload()
		case <-ticker.C:
			if newState := w.fileState(); newState != last {
				last = newState
				w.requestReload()
			}
		}
	}
}

// requestReload adds a reload request unless one is pending.
func (w *SettingsWatcher) requestReload() {
	select {
	case w.items <- struct{}{}:
	default:
	}
}
