package hickoryfabric

import (
	"hickoryworks/core/hickorydirectory"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
)

// maxRejectedValues bounds the rejected values that are remembered.
const maxRejectedValues = 1024

// handleStoreAnswer applies the outcome of a call to the store.
func (u *directoryUpdater) handleStoreAnswer(answer hickoryring.StoreAnswer) {
	if answer.Err != nil {
		u.handleStoreFailure(answer)
		return
	}
	if u.lost&answer.Scope != 0 {
		u.lost &^= answer.Scope
		u.logger.Log(hickoryevent.StoreRegained, hickorylog.Fields{"part": answer.Scope.String(), "through": int(answer.Batch.Through)})
	}
	u.logRejectedValues(answer.Batch.RejectedValues)
	readUntil := answer.SentAt
	if answer.Scope.Contains(hickorydirectory.ScopeUpstreams) {
		u.confirmedUntil = answer.SentAt
	}
	if answer.Scope != hickorydirectory.ScopeTable {
		// The answer itself may have taken maxAnswerTime; before that, the store has held
		// the call until there was a change. A configuration may take longer.
		readUntil = max(readUntil, u.clock.Now().Add(-maxAnswerTime))
	}
	u.source.RecordRead(answer.Scope, readUntil)
	if u.directory.Apply(u.clock.Now(), answer.Batch) {
		u.publish("store")
		return
	}
	u.views.Put(hickoryring.DirectoryUpdate{ConfirmedUntil: u.confirmedUntil})
}

// handleStoreFailure handles a failed call to the store.
func (u *directoryUpdater) handleStoreFailure(answer hickoryring.StoreAnswer) {
	if !u.lost.Contains(answer.Scope) {
		u.logger.Log(hickoryevent.StoreLost, hickorylog.Fields{
			"part": answer.Scope.String(), "error": answer.Err.Error(), "through": int(u.directory.Position().Of(answer.Scope)),
		})
	}
	u.lost |= answer.Scope
	u.source.RecordStoreFailure(answer.Scope)
	if answer.Scope.Contains(hickorydirectory.ScopeUpstreams) {
		u.directory.StoreFailed()
	}
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
