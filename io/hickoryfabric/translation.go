package hickoryfabric

import (
	"context"
	"net/http"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
)

// Translation holds the functions that translate to and from the platform.
type Translation struct {
	// DecodePacket reads a packet; the result shares its bytes.
	DecodePacket func([]byte, *hickorysteering.Packet) error
	// MarkPacket writes a mark into a packet and makes it fit for delivery.
	MarkPacket func([]byte, uint32)
	// EncodeReset returns a reset to the source of a flow.
	EncodeReset func(flow hickorymodel.FlowKey, sequence uint32) []byte
	// RequestID returns the id of the request that begins in a packet, or "".
	RequestID func([]byte) string
	// Readiness answers the fabric's question whether to send packets.
	Readiness func(ready func() bool) http.Handler
}

// Store reads what the platform publishes.
type Store struct {
	List  func(context.Context) (*hickorydirectory.Batch, error)
	Watch func(ctx context.Context, after hickorydirectory.Revision, wait time.Duration) (*hickorydirectory.Batch, error)
	// HistoryGone reports whether a watch failed because a listing is needed.
	HistoryGone func(error) bool
	Close       func() error
}
