package hickoryflow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
)

// TestProbeOfSilentUpstream guards against a full agent that admits nothing
// after its upstream restarted and lost its flows, and against one that stops
// counting flows which still send packets.
func TestProbeOfSilentUpstream(t *testing.T) {
	cases := []struct {
		name string
		// secondPacketAt is the time of a second packet of the first flow, if
		// any.
		secondPacketAt time.Duration
		// paused is the length of a pause without ticks before the probe.
		paused                 time.Duration
		wantFlows, wantCounted int
	}{
		{"no flow sends packets, so only the flow of the probe counts", 0, 0, 2, 1},
		{"a flow sends a packet before the probe", 90 * time.Second, 0, 1, 1},
		{"a flow sends a packet while the probe is open", 121 * time.Second, 0, 2, 2},
		{"the agent was paused", 0, 2 * time.Minute, 1, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			service := testService()
			service.Slots, service.Connections = 1, 1
			service.RampTime, service.OpeningTimeout = 20*time.Second, 2*time.Second
			service.Upstreams[0].State = hickorymodel.UpstreamAccepting
			tracker := hickoryflow.NewTracker(testEndpoint(1), "a", rand.New(rand.NewPCG(1, 1)))
			tracker.SetService(service, nil)
			start := hickorymodel.Instant(time.Hour)
			now := start
			tickUntil := func(end time.Duration) {
				for now.Before(start.Add(end)) {
					now = now.Add(hickoryflow.TickInterval)
					tracker.Tick(now)
				}
			}
			send := func(at time.Duration, port uint16, first bool) {
				tickUntil(at)
				p := &hickoryflow.Packet{Header: hickoryflow.Header{Service: 1, Generation: 1}, Key: testKey(port), First: first}
				p.Candidates = hickorymodel.CandidateList{{Endpoint: testEndpoint(1), State: hickorymodel.CandidateAccepting}}
				tracker.Handle(now, p)
			}
			send(0, 1, true)
			send(time.Second, 1, false)
			now = now.Add(c.paused)
			if c.secondPacketAt > 0 && c.secondPacketAt < 2*time.Minute {
				send(c.secondPacketAt, 1, false)
			}
			send(121*time.Second+time.Second/2, 2, true)
			is.Equal(tracker.Flows(), c.wantFlows)
			if c.secondPacketAt > 2*time.Minute {
				send(c.secondPacketAt+time.Second, 1, false)
			}
			send(123*time.Second, 2, false)
			is.Equal(tracker.Load().Flows, c.wantCounted)
		})
	}
}
