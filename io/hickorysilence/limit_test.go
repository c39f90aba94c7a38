package hickorysilence_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/io/hickorysilence"
)

// limit is the limit of each test; a part of it is a quarter.
const limit = 80 * time.Millisecond

// TestProgressKeepsCall guards against a call that is ended although its answer keeps
// arriving, only because it takes longer than the limit in all.
func TestProgressKeepsCall(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	l := hickorysilence.Start(0, limit, func() { close(ended) })
	ticker := time.NewTicker(limit / 8)
	defer ticker.Stop()
	for range 40 { // five times the limit
		select {
		case <-ended:
			t.Fatal("ended in spite of progress")
		case <-ticker.C:
			l.Progress()
		}
	}
	l.Stop()
	is.True(len(ended) == 0)
}

// TestSilenceEndsCall guards against a call that waits for ever for an end that has fallen
// silent, before its answer or in the middle of it, and against one that is ended while
// the other end may hold it.
func TestSilenceEndsCall(t *testing.T) {
	cases := []struct {
		name     string
		first    time.Duration
		progress bool
		atLeast  time.Duration
	}{
		{"no answer", 0, false, limit},
		{"an answer that breaks off", time.Minute, true, limit},
		{"no answer after the call was held", 2 * limit, false, 3 * limit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			begun := time.Now()
			l := hickorysilence.Start(c.first, limit, func() { close(ended) })
			if c.progress {
				l.Progress()
			}
			<-ended
			is.True(time.Since(begun) >= c.atLeast)
		})
	}
}

// TestStoppedLimitEndsNothing guards against a limit that ends a later call on the same
// connection.
func TestStoppedLimitEndsNothing(t *testing.T) {
	ended := make(chan struct{})
	hickorysilence.Start(0, limit, func() { close(ended) }).Stop()
	select {
	case <-ended:
		t.Fatal("ended after Stop")
	case <-time.After(2 * limit):
	}
}
