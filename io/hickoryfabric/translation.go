package hickoryfabric

import (
	"context"
	"net/http"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
)

// Translation holds the functions that translate between the platform's formats and
// the types of hickorysteering.
type Translation struct {
	// DecodePacket parses a packet; the result shares its bytes.
	DecodePacket func([]byte, *hickorysteering.Packet) error
	// MarkPacket prepares a packet for delivery to the upstream: it writes the mark
	// into the packet and clears the flag of packets that an upstream returned.
	MarkPacket func([]byte, uint32)
	// EncodeReset returns a packet that resets the flow at its source, the caller.
	EncodeReset func(flow hickorymodel.FlowKey, sequence uint32) []byte
	// RequestID returns the id of the request that begins in a packet, or "".
	RequestID func([]byte) string
	// Readiness returns the handler of the fabric's readiness check. Ready reports
	// whether the fabric should send packets to this process.
	Readiness func(ready func() bool) http.Handler
}

// Store holds the functions that read the state that the platform publishes.
type Store struct {
	// Connect prepares a listing: it opens connections, while the first state may yet come
	// from another balancer. It is nil for a store that needs none.
	Connect func(ctx context.Context)
	// List reads the newest records of a part of the published state, or of the whole. It
	// fails when a page stays silent for longer than silence.
	List func(ctx context.Context, scope hickorydirectory.Scope, silence time.Duration) (*hickorydirectory.Batch, error)
	// Watch returns the changes of a part of the published state after a revision. Without
	// a change it returns an empty batch after the wait. It fails when the store stays
	// silent after the wait for longer than silence.
	Watch func(ctx context.Context, scope hickorydirectory.Scope, after hickorydirectory.Revision, wait, silence time.Duration) (*hickorydirectory.Batch, error)
	// HistoryGone reports whether a watch failed because the store no longer has all
	// changes after the revision, so that a listing is needed.
	HistoryGone func(error) bool
	Close       func() error
}
