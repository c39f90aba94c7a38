package hickoryfabric

import (
	"context"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// directoryTickInterval is the time between two checks for expired entries and due
// calls to other balancers.
const directoryTickInterval = 200 * time.Millisecond

// maxRejectedValues bounds the rejected values that are remembered.
const maxRejectedValues = 1024

// directoryUpdater owns the directory, the copy of the state that the platform
// publishes. It applies answers of the store and of other balancers, answers the
// calls of other balancers, and sends a view of the directory to the decide duty
// after each change. It is not safe for concurrent use.
type directoryUpdater struct {
	clock         *hickoryclock.Clock
	logger        *hickorylog.Logger
	self          hickoryid.Endpoint
	directory     *hickorydirectory.Directory
	peers         *hickorydirectory.Peers
	storeAnswers  *hickoryring.StoreRing
	stateCalls    *hickoryring.StateRing
	stateRequests *hickoryring.StateFetchRing
	views         *hickoryring.DirectoryRing
	// recordApplied is called after an answer of the store that changed nothing, with
	// the time at which the call was sent. After a change, the view carries that time
	// as Confirmed.
	recordApplied func(sentAt hickorymodel.Instant)

	// confirmedUntil is when the last answered call to the store was sent: all changes
	// published before it are applied.
	confirmedUntil hickorymodel.Instant
	// storeLost is true from a failed call to the store until the next answer.
	storeLost bool
	// rejectedValues are the rejected values that have been logged. It has at most
	// maxRejectedValues entries and is cleared when it is full.
	rejectedValues map[hickorydirectory.RejectedValue]bool
}

func (u *directoryUpdater) run(ctx context.Context) error {
	ticker := time.NewTicker(directoryTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case answer := <-u.storeAnswers.Items():
			u.handleStoreAnswer(answer)
		case call := <-u.stateCalls.Items():
			u.handleStateCall(call)
		case <-ticker.C:
			u.tick()
		}
	}
}

// tick expires removed upstreams and requests the state of another balancer when a
// call is due.
func (u *directoryUpdater) tick() {
	now := u.clock.Now()
	if u.directory.Tick(now) {
		u.publish("lapse")
	}
	if peer, due := u.peers.Next(now, u.storeLost || !u.directory.StateComplete()); due {
		u.stateRequests.Put(hickoryring.StateFetch{
			Peer:    peer,
			Request: hickorymessage.StateRequest{Sender: u.self, Digest: u.directory.Digest()},
		})
	}
}

// handleStoreAnswer applies the outcome of a call to the store.
func (u *directoryUpdater) handleStoreAnswer(answer hickoryring.StoreAnswer) {
	if answer.Err != nil {
		if !u.storeLost {
			u.logger.Log(hickoryevent.StoreLost, hickorylog.Fields{"error": answer.Err.Error(), "through": int(u.directory.Through())})
		}
		u.storeLost = true
		u.directory.StoreFailed()
		return
	}
	if u.storeLost {
		u.storeLost = false
		u.logger.Log(hickoryevent.StoreRegained, hickorylog.Fields{"through": int(answer.Batch.Through)})
	}
	u.logRejectedValues(answer.Batch.RejectedValues)
	u.confirmedUntil = answer.SentAt
	if u.directory.Apply(u.clock.Now(), answer.Batch) {
		u.publish("store")
		return
	}
	u.recordApplied(answer.SentAt)
}

// logRejectedValues logs each rejected value once: its writer may repeat it with each
// heartbeat, and every listing contains it.
func (u *directoryUpdater) logRejectedValues(values []hickorydirectory.RejectedValue) {
	for _, value := range values {
		if u.rejectedValues[value] {
			continue
		}
		if len(u.rejectedValues) >= maxRejectedValues {
			clear(u.rejectedValues)
		}
		u.rejectedValues[value] = true
		u.logger.Log(hickoryevent.StoreValueRejected, hickorylog.Fields{"key": value.Key, "error": value.Reason})
	}
}

// handleStateCall handles a request, an answer or a failure of another balancer, or
// new seeds.
func (u *directoryUpdater) handleStateCall(call hickoryring.StateCall) {
	now := u.clock.Now()
	switch {
	case call.Request != nil:
		u.peers.RecordContact(now, call.Request.Sender)
		reply := hickorymessage.StateReply{Peers: u.peers.List()}
		if call.Request.Digest != u.directory.Digest() {
			reply.State = u.directory.Export(now)
		}
		call.Reply <- reply
	case call.Answer != nil:
		u.peers.RecordContact(now, call.Peer)
		u.peers.AddPeers(now, call.Answer.Peers)
		if call.Answer.State != nil && u.directory.Merge(now, call.Answer.State) {
			u.publish(string(call.Peer))
		}
	case call.Seeds != nil:
		u.peers.SetSeeds(call.Seeds)
	default:
		u.peers.RecordFailure(call.Peer)
	}
}

// publish sends a view of the directory to the decide duty. Source says in the log
// what caused the change: "store", "lapse" for entries that expired, or the endpoint
// of the balancer whose state was merged.
func (u *directoryUpdater) publish(source string) {
	view := u.directory.View(u.clock.Now(), hickorymodel.NewWallTime(time.Now()))
	view.Confirmed = u.confirmedUntil
	accepting := 0
	for i := range view.Upstreams {
		if view.Upstreams[i].Accepting {
			accepting++
		}
	}
	u.logger.Log(hickoryevent.DirectoryChanged, hickorylog.Fields{
		"source": source, "version": view.Version, "through": int(u.directory.Through()),
		"routes": len(view.Routes), "upstreams": len(view.Upstreams), "accepting": accepting, "known": view.StateComplete,
	})
	u.views.Put(view)
}
