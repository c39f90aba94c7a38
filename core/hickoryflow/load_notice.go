package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

const (
	// TickInterval is the longest time between two calls of Tick.
	TickInterval = 20 * time.Millisecond
	// noticeInterval is the shortest time between two load notices, and
	// maxNoticePeers is the largest number of receivers of each. They limit the
	// cost of load notices to about 5 KB/s for each agent.
	noticeInterval = 250 * time.Millisecond
	maxNoticePeers = 8
	// noticeRefresh is the time after which a notice is repeated without a
	// change, before the receivers discard its load.
	noticeRefresh = 3 * time.Second
	// noticeDivisor sets the smallest change of load that is sent: one flow in
	// 128, and at least one flow.
	noticeDivisor = 128
)

// loadNotices holds the load that was last sent and the time.
type loadNotices struct {
	flows     int
	accepting bool
	sentAt    hickorymodel.Instant
	sent      bool
}

// sendLoadNotices sends the load of this agent to some agents of the service
// when it has changed enough or must be repeated.
func (t *Tracker) sendLoadNotices(now hickorymodel.Instant) {
	if !t.hasService || !t.notices.due(now, t.gate.Load().Flows, t.gate.Load().Accepting) {
		return
	}
	load := t.gate.Load()
	t.notices = loadNotices{flows: load.Flows, accepting: load.Accepting, sentAt: now, sent: true}
	notice := &hickorymessage.Datagram{LoadNotice: &hickorymessage.LoadNotice{
		Service: t.service.Number,
		Load:    LoadMessage(load),
	}}
	for _, peer := range t.noticePeers() {
		t.send(peer, notice)
	}
}

func (n *loadNotices) due(now hickorymodel.Instant, flows int, accepting bool) bool {
	if !n.sent {
		return true
	}
	age := now.Sub(n.sentAt)
	if age < noticeInterval {
		return false
	}
	change := flows - n.flows
	minChange := max(n.flows/noticeDivisor, 1)
	return accepting != n.accepting || change >= minChange || -change >= minChange || age >= noticeRefresh
}

// noticePeers returns the other accepting agents of the service, or a random
// selection of maxNoticePeers in a larger service.
func (t *Tracker) noticePeers() []hickorymodel.Endpoint {
	var peers []hickorymodel.Endpoint
	for _, upstream := range t.service.Upstreams {
		if !t.isSelf(upstream.Endpoint) && upstream.State == hickorymodel.UpstreamAccepting {
			peers = append(peers, upstream.Endpoint)
		}
	}
	if len(peers) <= maxNoticePeers {
		return peers
	}
	t.random.Shuffle(len(peers), func(i, j int) {
		peers[i], peers[j] = peers[j], peers[i]
	})
	return peers[:maxNoticePeers]
}
