package hickoryfabric

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryid"
)

// TestStateCallsAfterFirstState guards against a slow balancer that decodes the states of
// several others at once, with thousands of routes, so that each call reaches its deadline
// and its configuration stays old: only one call may be under way once it has a state.
func TestStateCallsAfterFirstState(t *testing.T) {
	cases := []struct {
		name     string
		complete bool
		calls    int
	}{
		{"without a state", false, stateFetchers},
		{"with a state", true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp4", "127.0.0.1:0") // never answers a call
			is.NoErr(err)
			t.Cleanup(func() { is.NoErr(listener.Close()) })
			completed := make(chan struct{})
			if c.complete {
				close(completed)
			}
			client := hickoryrpc.NewClient()
			t.Cleanup(func() { is.NoErr(client.Close()) })
			f := &stateFetcher{
				client: client, stateRequests: hickoryring.NewStateFetchRing(), stateCalls: hickoryring.NewStateRing(),
				completed: completed,
				failures:  peerFailures{clock: hickoryclock.New(), logger: hickorylog.New(io.Discard, "balancer"), failed: tally.NoopScope.Counter("failed")},
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, stateFetchers)
			go func() { ended <- f.run(ctx) }()
			for range stateFetchers - 1 {
				go func() { ended <- f.runUntilComplete(ctx) }()
			}
			is.Equal(startedCalls(f, hickoryid.Endpoint(listener.Addr().String())), c.calls)
			cancel()
			for range stateFetchers {
				<-ended
			}
		})
	}
}

// startedCalls requests more states than there are duties, for less time than a call
// takes, and returns how many calls have been started.
func startedCalls(f *stateFetcher, peer hickoryid.Endpoint) int {
	started := 0
	deadline := time.NewTimer(stateCallTimeout / 2)
	defer deadline.Stop()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-deadline.C:
			return started
		case <-ticker.C:
			f.stateRequests.Put(hickoryring.StateFetch{Peer: peer})
		case call := <-f.stateCalls.Items():
			if call.Reached {
				started++
			}
		}
	}
}
