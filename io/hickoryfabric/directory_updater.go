package hickoryfabric

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

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
const directoryTickInterval = 100 * time.Millisecond

// directoryUpdater owns the directory, the copy of the state that the platform
// publishes. It applies answers of the store and of other balancers, answers the
// calls of other balancers, and sends a view of the directory to the decide duty
// after each change. It is not safe for concurrent use.
type directoryUpdater struct {
	clock         *hickoryclock.Clock
	logger        *hickorylog.Logger
	self          hickoryid.Endpoint
	zone          hickoryid.ZoneName
	directory     *hickorydirectory.Directory
	peers         *hickorydirectory.Peers
	source        *hickorydirectory.Source
	waiters       changesWaiters
	draining      *atomic.Bool
	storeAnswers  *hickoryring.StoreRing
	stateCalls    *hickoryring.StateRing
	stateRequests *hickoryring.StateFetchRing
	views         *hickoryring.DirectoryRing
	// changesCalls carries calls for changes, of this balancer and of others;
	// changesFetches those that this balancer is to send.
	changesCalls   *hickoryring.ChangesRing
	changesFetches *hickoryring.ChangesFetchRing
	// tableCalls carries calls for the configuration, of this balancer and of others;
	// tableFetches those that this balancer is to send.
	tableCalls   *hickoryring.TableRing
	tableFetches *hickoryring.TableFetchRing
	tablePull    tablePull
	// setReading is called with whether the storeFollowers are to watch the store, and up
	// to which revisions all changes are known.
	setReading func(reading bool, known hickorydirectory.Position)

	// confirmedUntil is when the last answered call to the store for the upstreams was sent:
	// all changes of theirs that were published before it are applied.
	confirmedUntil hickorymodel.Instant
	// lost has the parts of the published state whose last call to the store has failed.
	lost hickorydirectory.Scope
	// reading is true while the storeFollower watches the store.
	reading bool
	// asked and stateComplete are true once the first source has been asked and the state
	// has been complete. Completed is closed at the same time as stateComplete is set.
	asked, stateComplete bool
	completed            chan struct{}
	// changesSentAt is when the last call for changes was sent.
	changesSentAt hickorymodel.Instant
	// viewAge is the age of what the balancer knows, in seconds.
	viewAge tally.Gauge
	// rejectedValues are the rejected values that have been logged. It has at most
	// maxRejectedValues entries and is cleared when it is full.
	rejectedValues map[hickorydirectory.RejectedValue]bool
}

func (u *directoryUpdater) run(ctx context.Context) error {
	ticker := time.NewTicker(directoryTickInterval)
	defer ticker.Stop()
	u.tick()
	u.follow()
	firstRead := time.NewTimer(hickorydirectory.ReachDelay)
	defer firstRead.Stop()
	for {
		select {
		case <-firstRead.C: // follow decides again
			if wait := u.source.FirstReadAt().Sub(u.clock.Now()); wait > 0 {
				firstRead.Reset(wait)
			}
		case <-ctx.Done():
			return ctx.Err()
		case answer := <-u.storeAnswers.Items():
			u.handleStoreAnswer(answer)
		case call := <-u.stateCalls.Items():
			u.handleStateCall(call)
		case call := <-u.changesCalls.Items():
			u.handleChangesCall(call)
		case call := <-u.tableCalls.Items():
			u.handleTableCall(call)
		case <-ticker.C:
			u.tick()
		}
		u.follow()
	}
}

// follow sends the next call for changes if one is due, answers the calls of other
// balancers for which there are changes, and tells the storeFollower whether to read.
func (u *directoryUpdater) follow() {
	now := u.clock.Now()
	stateComplete := u.directory.StateComplete()
	reading := u.source.Reading(now, stateComplete)
	if reading != u.reading {
		u.logFirstSource("store")
		u.reading = reading
		u.logger.Log(hickoryevent.SourceChanged, hickorylog.Fields{"reading": reading, "known": stateComplete, "through": int(u.directory.Through())})
	}
	u.setReading(reading, u.directory.Position())
	u.waiters.answerDue(now)
	if !stateComplete {
		return
	}
	if peer, due := u.source.Next(now); due {
		u.changesSentAt = now
		u.expireTablePull()
		position := u.directory.Position()
		u.changesFetches.Put(hickoryring.ChangesFetch{Peer: peer, Request: hickorymessage.ChangesRequest{
			Sender: u.self, Zone: u.zone, Revision: int(position.Upstreams), Version: position.Version,
			ZonesRevision: int(position.Zones), TableRevision: int(position.Table), TablePending: u.tablePull.pending,
			WaitMillis: int(changesWait.Milliseconds()),
		}})
	}
}

// handleChangesCall handles a call of a balancer that follows this one, or the outcome
// of a call to the one that this one follows.
func (u *directoryUpdater) handleChangesCall(call hickoryring.ChangesCall) {
	now := u.clock.Now()
	switch {
	case call.Request != nil:
		u.peers.RecordContact(now, call.Request.Sender, call.Request.Zone)
		u.waiters.add(now, call)
	case call.Answer != nil:
		if call.Answer.State != nil && u.directory.Merge(now, call.Answer.State) {
			u.publish(string(call.Peer))
		}
		// The answer was sent after the call had been held; when it is late, it is older
		// than it seems by its arrival.
		answeredAt := u.changesSentAt.Add(time.Duration(call.Answer.HeldMillis) * time.Millisecond)
		recordsUntil := answeredAt.Add(-time.Duration(call.Answer.AgeMillis) * time.Millisecond)
		tableUntil := answeredAt.Add(-time.Duration(call.Answer.TableAgeMillis) * time.Millisecond)
		if call.Answer.TableDue {
			tableUntil = 0
			u.pullTable(call.Peer)
		}
		u.source.RecordAnswer(now, call.Peer, call.Answer.Current, recordsUntil, tableUntil)
	default:
		u.source.RecordFailure(now, call.Peer)
	}
}

// callReason returns why other balancers are called now.
func (u *directoryUpdater) callReason() hickorydirectory.CallReason {
	switch {
	case !u.directory.StateComplete():
		return hickorydirectory.CallIncomplete
	case u.lost.Contains(hickorydirectory.ScopeUpstreams) && u.reading:
		return hickorydirectory.CallStoreLost
	default:
		return hickorydirectory.CallRoutine
	}
}

// tick expires removed upstreams and requests the state of another balancer when a
// call is due.
func (u *directoryUpdater) tick() {
	now := u.clock.Now()
	if u.directory.Tick(now) {
		u.publish("lapse")
	}
	if u.draining.Load() {
		u.source.Stop()
	}
	age, _ := u.source.Age(now)
	u.viewAge.Update(max(age, u.source.TableAge(now)).Seconds())
	if peer, due := u.peers.Next(now, u.callReason()); due {
		u.logFirstSource(string(peer))
		position := u.directory.Position()
		u.stateRequests.Put(hickoryring.StateFetch{Peer: peer, Request: hickorymessage.StateRequest{
			Sender: u.self, Zone: &u.zone, Digest: u.directory.Digest(), Version: position.Version, TableRevision: int(position.Table),
		}})
	}
}

// handleStateCall handles a request, an answer or a failure of another balancer, or
// new seeds.
func (u *directoryUpdater) handleStateCall(call hickoryring.StateCall) {
	now := u.clock.Now()
	switch {
	case call.Request != nil:
		zone := hickoryid.ZoneName("")
		if call.Request.Zone != nil {
			zone = *call.Request.Zone
		}
		u.peers.RecordContact(now, call.Request.Sender, zone)
		reply := hickorymessage.StateReply{Peers: []hickoryid.Endpoint{}, Members: u.peers.Members(now), Settled: u.directory.Settled(now)}
		if call.Request.Digest != u.directory.Digest() {
			reply.State = u.directory.Export(now)
			reply.TableDue = u.directory.TableDue(tablePosition(call.Request.Version, call.Request.TableRevision))
			if call.Request.Version != 0 && reply.State != nil {
				reply.State.Table = nil
				reply.State.TableRevision = 0
			}
		}
		call.Reply <- reply
	case call.Answer != nil:
		u.peers.RecordContact(now, call.Peer, "")
		u.peers.AddMembers(now, call.Answer.Members)
		// The state is whole, or the digest has shown that this directory has it.
		changed := call.Answer.State != nil && u.directory.Merge(now, call.Answer.State)
		if call.Answer.TableDue && u.directory.StateComplete() {
			u.pullTable(call.Peer)
		}
		changed = (call.Answer.Settled && u.directory.StateComplete() && u.directory.Settle(now)) || changed
		if call.Answer.State == nil {
			u.source.RecordNoState()
		}
		if changed {
			u.publish(string(call.Peer))
		}
	case call.Reached:
		u.source.RecordReached(now)
	case call.Seeds != nil:
		u.peers.SetSeeds(call.Seeds)
	default:
		u.peers.RecordFailure(now, call.Peer)
		u.source.RecordNoState()
	}
}

// publish sends a view of the directory to the decide duty. Source says in the log
// what caused the change: "store", "lapse" for entries that expired, or the endpoint
// of the balancer whose state was merged.
func (u *directoryUpdater) publish(source string) {
	view := u.directory.View(u.clock.Now(), hickorymodel.NewWallTime(time.Now()))
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
	if view.StateComplete && !u.stateComplete {
		u.stateComplete = true
		close(u.completed)
		u.logger.LogStartStep(hickoryevent.DirectoryCompleted, hickorylog.Fields{"source": source, "upstreams": len(view.Upstreams)})
	}
	u.views.Put(hickoryring.DirectoryUpdate{View: view, PublishedAt: u.clock.Now(), ConfirmedUntil: u.confirmedUntil})
}

// logFirstSource logs which source is asked first for the state: a balancer, or "store".
func (u *directoryUpdater) logFirstSource(source string) {
	if u.asked {
		return
	}
	u.asked = true
	u.logger.LogStartStep(hickoryevent.FirstSourceAsked, hickorylog.Fields{"source": source})
}
