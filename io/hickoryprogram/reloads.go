package hickoryprogram

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// settingsInterval is the time between two looks at the settings file, which may
// change without a signal.
const settingsInterval = 2 * time.Second

// SettingsWatcher says when a daemon should read its settings again: at SIGHUP, and when
// the file has changed.
type SettingsWatcher struct {
	path     string
	interval time.Duration
	signals  chan os.Signal
	// items holds one wish at most, since further ones before a reload say the same.
	items  chan struct{}
	cancel context.CancelFunc
	ended  chan error
}

// SettingsWatcherOption changes reloads at construction.
type SettingsWatcherOption func(*SettingsWatcher)

// WithCheckInterval sets the time between two looks at the settings file.
func WithCheckInterval(interval time.Duration) SettingsWatcherOption {
	return func(r *SettingsWatcher) {
		r.interval = interval
	}
}

// WatchSettings handles SIGHUP and watches a settings file from now on. A daemon
// calls it before it reads the file, so that no change is missed.
func WatchSettings(ctx context.Context, path string, options ...SettingsWatcherOption) *SettingsWatcher {
	ctx, cancel := context.WithCancel(ctx)
	r := &SettingsWatcher{
		path:     path,
		interval: settingsInterval,
		signals:  make(chan os.Signal, 1),
		items:    make(chan struct{}, 1),
		cancel:   cancel,
		ended:    make(chan error, 1),
	}
	for _, option := range options {
		option(r)
	}
	signal.Notify(r.signals, syscall.SIGHUP)
	last := r.stamp()
	go func(ctx context.Context) {
		r.ended <- r.run(ctx, last)
	}(ctx)
	return r
}

// Items returns the channel to receive from.
func (r *SettingsWatcher) Items() <-chan struct{} {
	return r.items
}

// Close ends the watch and waits for it. SIGHUP stays ignored.
func (r *SettingsWatcher) Close() error {
	r.cancel()
	return <-r.ended
}

// stamp is what tells two states of a file apart; it is zero for no file.
type stamp struct {
	modified time.Time
	size     int64
}

// stamp returns the state of the settings file. A file that can't be looked at is
// left to the reader of the settings, which reports it.
func (r *SettingsWatcher) stamp() stamp {
	info, err := os.Stat(r.path)
	if err != nil {
		return stamp{}
	}
	return stamp{modified: info.ModTime(), size: info.Size()}
}

func (r *SettingsWatcher) run(ctx context.Context, last stamp) error {
	ticker := time.NewTicker(r.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.signals:
			last = r.stamp()
			r.wish()
		case <-ticker.C:
			if found := r.stamp(); found != last {
				last = found
				r.wish()
			}
		}
	}
}

func (r *SettingsWatcher) wish() {
	select {
	case r.items <- struct{}{}:
	default:
	}
}
