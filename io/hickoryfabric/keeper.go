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

// keepInterval is the time between two looks at what is due.
const keepInterval = 200 * time.Millisecond

// keeper owns the directory: it takes answers of the store and calls of other
// balancers and passes on views. One goroutine uses it.
type keeper struct {
	clock     *hickoryclock.Clock
	logger    *hickorylog.Logger
	self      hickoryid.Endpoint
	directory *hickorydirectory.Directory
	peers     *hickorydirectory.Peers
	answers   *hickoryring.StoreRing
	states    *hickoryring.StateRing
	asks      *hickoryring.AskRing
	views     *hickoryring.DirectoryRing
	// noteApplied is called with the time of an answered call that changed nothing.
	noteApplied func(sentAt hickorymodel.Instant)

	// confirmedAt is when the last answered call of the store was sent.
	confirmedAt hickorymodel.Instant
	// storeLost is true from a failed call of the store to the next answer.
	storeLost bool
}

func (k *keeper) run(ctx context.Context) error {
	ticker := time.NewTicker(keepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case answer := <-k.answers.Items():
			k.takeAnswer(answer)
		case call := <-k.states.Items():
			k.takeCall(call)
		case <-ticker.C:
			k.tick()
		}
	}
}

func (k *keeper) tick() {
	now := k.clock.Now()
	if k.directory.Tick(now) {
		k.publish("lapse")
	}
	if peer, due := k.peers.Next(now, k.storeLost || !k.directory.StateComplete()); due {
		k.asks.Put(hickoryring.Ask{
			Peer:    peer,
			Request: hickorymessage.StateRequest{Sender: k.self, Digest: k.directory.Digest()},
		})
	}
}

func (k *keeper) takeAnswer(answer hickoryring.StoreAnswer) {
	if answer.Err != nil {
		if !k.storeLost {
			k.logger.Log(hickoryevent.StoreLost, hickorylog.Fields{"error": answer.Err.Error(), "through": int(k.directory.Through())})
		}
		k.storeLost = true
		k.directory.StoreFailed()
		return
	}
	if k.storeLost {
		k.storeLost = false
		k.logger.Log(hickoryevent.StoreRegained, hickorylog.Fields{"through": int(answer.Batch.Through)})
	}
	for _, fault := range answer.Batch.RejectedValues {
		k.logger.Log(hickoryevent.StoreValueRejected, hickorylog.Fields{"key": fault.Key, "error": fault.Reason})
	}
	k.confirmedAt = answer.SentAt
	if k.directory.Apply(k.clock.Now(), answer.Batch) {
		k.publish("store")
		return
	}
	k.noteApplied(answer.SentAt)
}

func (k *keeper) takeCall(call hickoryring.StateCall) {
	now := k.clock.Now()
	switch {
	case call.Request != nil:
		k.peers.RecordContact(now, call.Request.Sender)
		reply := hickorymessage.StateReply{Peers: k.peers.List()}
		if call.Request.Digest != k.directory.Digest() {
			reply.State = k.directory.Export(now)
		}
		call.Reply <- reply
	case call.Answer != nil:
		k.peers.RecordContact(now, call.Peer)
		k.peers.AddPeers(now, call.Answer.Peers)
		if call.Answer.State != nil && k.directory.Merge(now, call.Answer.State) {
			k.publish(string(call.Peer))
		}
	case call.Seeds != nil:
		k.peers.SetSeeds(call.Seeds)
	default:
		k.peers.RecordFailure(call.Peer)
	}
}

// publish passes on a view of the state, with its source in the log.
func (k *keeper) publish(source string) {
	view := k.directory.View(k.clock.Now())
	view.Confirmed = k.confirmedAt
	accepting := 0
	for i := range view.Upstreams {
		if view.Upstreams[i].Accepting {
			accepting++
		}
	}
	k.logger.Log(hickoryevent.DirectoryChanged, hickorylog.Fields{
		"source": source, "version": view.Version, "through": int(k.directory.Through()),
		"routes": len(view.Routes), "upstreams": len(view.Upstreams), "accepting": accepting, "known": view.StateComplete,
	})
	k.views.Put(view)
}
