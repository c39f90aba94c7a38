package hickoryprogram_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/io/hickoryprogram"
)

// TestReloads guards against a changed settings file that is not read again: a file
// changes with and without a signal.
func TestReloads(t *testing.T) {
	cases := []struct {
		name   string
		change func(path string) error
		want   bool
	}{
		{"signal", func(string) error { return syscall.Kill(os.Getpid(), syscall.SIGHUP) }, true},
		{"change without a signal", func(path string) error { return os.WriteFile(path, []byte("seeds: [a]"), 0o600) }, true},
		{"removed file", os.Remove, true},
		{"no change", func(string) error { return nil }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "settings.yaml")
			is.NoErr(os.WriteFile(path, []byte("seeds: []"), 0o600))
			watcher := hickoryprogram.WatchSettings(t.Context(), path, hickoryprogram.WithCheckInterval(5*time.Millisecond))
			is.NoErr(c.change(path))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			if !c.want {
				cancel()
			}
			defer cancel()
			select {
			case <-watcher.Items():
				is.True(c.want)
			case <-ctx.Done():
				is.True(!c.want)
			}
			is.NoErr(watcher.Close())
		})
	}
}
