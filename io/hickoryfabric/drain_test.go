package hickoryfabric

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
)

// TestAgentDrainsAnswers guards against a planned stop that ends while the upstream
// still sends an answer (guarantee P9): the rest would reach the caller only after the
// upstream has sent it again.
func TestAgentDrainsAnswers(t *testing.T) {
	is := is.New(t)
	a := &Agent{clock: hickoryclock.New()}
	d := &agentDecider{
		clock: a.clock, busyFlows: &a.busyFlows, answeredAt: &a.answeredAt, refusing: &a.refusing,
		recorder: newRecorder(tally.NoopScope, hickorylog.New(io.Discard, "agent")),
		rings:    agentRings{out: hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest)},
		translation: Translation{DecodePacket: func(data []byte, packet *hickorysteering.Packet) error {
			*packet = hickorysteering.Packet{Data: len(data), Bytes: data}
			return nil
		}},
	}
	d.steering = hickorysteering.NewAgent(1, 1, 1, nil, d.recorder.record)
	later := hickorymodel.Instant(time.Hour)
	is.True(!a.drained(later)) // new flows are not refused yet
	a.refusing.Store(true)
	is.True(a.drained(later))
	a.busyFlows.Store(1)
	is.True(!a.drained(later))
	a.busyFlows.Store(0)
	d.handlePacket(t.Context(), hickoryring.Frame{Bytes: []byte("part of an answer")})
	sentAt := hickorymodel.Instant(a.answeredAt.Load())
	is.True(sentAt > 0)
	is.True(!a.drained(sentAt.Add(answerQuietPeriod / 2)))
	is.True(a.drained(sentAt.Add(answerQuietPeriod)))
}
