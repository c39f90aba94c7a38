package hickoryfabric

import (
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
)

// peerFailures records the failed calls of one method of other balancers.
type peerFailures struct {
	method string
	clock  *hickoryclock.Clock
	logger *hickorylog.Logger
	failed tally.Counter
}

// record records a call that was sent at a time and has failed.
func (f *peerFailures) record(peer hickoryid.Endpoint, sentAt hickorymodel.Instant, err error) {
	f.failed.Inc(1)
	f.logger.Log(hickoryevent.PeerUnanswered, hickorylog.Fields{
		"peer": string(peer), "method": f.method, "elapsedMillis": int(f.clock.Now().Sub(sentAt).Milliseconds()), "error": err.Error(),
	})
}
