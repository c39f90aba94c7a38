package hickoryhangup_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	_ "hickoryworks/io/hickoryhangup"
)

// TestIgnoredAtStart guards against a SIGHUP that ends a process which has not
// registered its handler yet.
func TestIgnoredAtStart(t *testing.T) {
	is := is.New(t)
	is.True(signal.Ignored(syscall.SIGHUP))
}

// TestHandledAfterNotify guards against a SIGHUP that is still ignored after the
// process has registered a handler, so that settings are never reloaded.
func TestHandledAfterNotify(t *testing.T) {
	is := is.New(t)
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	defer signal.Stop(reloads)
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	select {
	case <-reloads:
	case <-time.After(5 * time.Second):
		t.Error("SIGHUP did not reach its handler within 5 s")
	}
}
