package hickoryfabric

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	tableMethod = stateService + ".Table"
	// peerSilence bounds the time in which nothing of the answer of another balancer
	// arrives.
	peerSilence = 700 * time.Millisecond
	// tableTimeout bounds a call whose answer keeps arriving, but too slowly to be of use.
	tableTimeout = 10 * time.Second
	// tablePullLimit is the time after which a call for the configuration without an outcome
	// counts as failed. It is longer than any call takes; the outcome may have met a full
	// ring.
	tablePullLimit = tableTimeout + 2*time.Second
	// tableRetryPause is the time from a failed call for the configuration to the next
	// one.
	tableRetryPause = 200 * time.Millisecond
)

// tableFetcher asks other balancers for their configuration, one call at a time, and
// passes the answers to the directoryUpdater. A configuration may have thousands of
// routes, so it has a duty of its own: upstreams that leave and zones that go out of
// service do not wait for it.
type tableFetcher struct {
	client       *hickoryrpc.Client
	tableFetches *hickoryring.TableFetchRing
	tableCalls   *hickoryring.TableRing
	failures     peerFailures
}

func (f *tableFetcher) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case fetch := <-f.tableFetches.Items():
			sentAt := f.failures.clock.Now()
			answer, err := f.fetch(ctx, fetch)
			if err != nil {
				f.failures.record(fetch.Peer, sentAt, err)
			}
			f.tableCalls.Put(hickoryring.TableCall{Peer: fetch.Peer, Answer: answer, SentAt: sentAt})
		}
	}
}

// fetch calls one balancer and decodes its answer.
func (f *tableFetcher) fetch(ctx context.Context, fetch hickoryring.TableFetch) (*hickoryring.TableAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	answer := &hickoryring.TableAnswer{}
	if err := f.client.CallUntilSilent(ctx, peerSilence, fetch.Peer, tableMethod, &fetch.Request, &answer.Reply); err != nil {
		return nil, err
	}
	if answer.Reply.Update == "" {
		return answer, nil
	}
	var err error
	if answer.Update, err = decodeTable(answer.Reply.Update); err != nil {
		return nil, errors.Wrapf(err, "configuration of %s", fetch.Peer)
	}
	return answer, nil
}

// packTable compresses the configuration of a whole state.
func (r *stateReceiver) packTable(reply *hickorymessage.StateReply) error {
	if reply.State == nil || reply.State.Table == nil {
		return nil
	}
	var err error
	reply.Table, err = r.tables.encode(&hickorymessage.TableUpdate{Table: *reply.State.Table, Removed: []string{}})
	reply.State.Table = nil
	return err
}

// unpackTable puts the compressed configuration of a whole state into it.
func unpackTable(reply *hickorymessage.StateReply) error {
	update, err := decodeTable(reply.Table)
	if err != nil {
		return err
	}
	reply.State.Table = &update.Table
	return nil
}

// Table replies with what the caller lacks of the configuration.
func (r *stateReceiver) Table(request hickorymessage.TableRequest, reply *hickorymessage.TableReply) error {
	answers := make(chan hickoryring.TableAnswer, 1)
	if !r.tableCalls.Put(hickoryring.TableCall{Request: &request, Peer: request.Sender, Reply: answers}) {
		return errors.New("table: too many calls")
	}
	timer := time.NewTimer(stateReplyTimeout)
	defer timer.Stop()
	select {
	case answer := <-answers:
		*reply = answer.Reply
		if answer.Update == nil {
			return nil
		}
		var err error
		reply.Update, err = r.tables.encode(answer.Update)
		return err
	case <-timer.C:
		return errors.New("table: no answer in time")
	}
}

// tablePull decides when the next call for the configuration is due.
type tablePull struct {
	// pending is true while a call is under way, or has failed just now. It ends at retryAt
	// at the latest.
	pending bool
	retryAt hickorymodel.Instant
	// whole is true when the next call is to bring all routes, since an update did not
	// start from the configuration in force.
	whole bool
}

// pullTable asks a balancer for its configuration, unless a call is under way.
func (u *directoryUpdater) pullTable(peer hickoryid.Endpoint) {
	u.expireTablePull()
	if u.tablePull.pending {
		return
	}
	position := u.directory.Position()
	request := hickorymessage.TableRequest{Sender: u.self, Version: position.Version, TableRevision: int(position.Table)}
	if u.tablePull.whole {
		request.Version = 0
	}
	if u.tableFetches.Put(hickoryring.TableFetch{Peer: peer, Request: request}) {
		u.tablePull = tablePull{pending: true, retryAt: u.clock.Now().Add(tablePullLimit)}
	}
}

// expireTablePull ends the pause after a failed call, and a call without an outcome.
func (u *directoryUpdater) expireTablePull() {
	if !u.clock.Now().Before(u.tablePull.retryAt) {
		u.tablePull.pending = false
	}
}

// handleTableCall handles a call of a balancer that lacks a configuration, or the outcome
// of a call to one.
func (u *directoryUpdater) handleTableCall(call hickoryring.TableCall) {
	now := u.clock.Now()
	switch {
	case call.Request != nil:
		call.Reply <- u.tableAnswer(now, call.Request)
	case call.Answer != nil:
		u.applyTable(call)
	default:
		u.tablePull = tablePull{pending: true, retryAt: now.Add(tableRetryPause), whole: u.tablePull.whole}
	}
}

// tableAnswer returns the answer to a request for the configuration.
func (u *directoryUpdater) tableAnswer(now hickorymodel.Instant, request *hickorymessage.TableRequest) hickoryring.TableAnswer {
	age := u.source.TableAge(now)
	position := tablePosition(request.Version, request.TableRevision)
	return hickoryring.TableAnswer{
		Update: u.directory.ExportTable(position),
		Reply:  hickorymessage.TableReply{AgeMillis: int(max(age, 0).Milliseconds()), Revision: int(u.directory.Position().Table)},
	}
}

// applyTable applies the configuration of another balancer.
func (u *directoryUpdater) applyTable(call hickoryring.TableCall) {
	u.tablePull = tablePull{}
	if update := call.Answer.Update; update != nil {
		changed, err := u.directory.MergeTable(update, hickorydirectory.Revision(call.Answer.Reply.Revision))
		if err != nil {
			u.tablePull.whole = true
			u.logger.Log(hickoryevent.PeerUnanswered, hickorylog.Fields{"peer": string(call.Peer), "error": err.Error()})
			return
		}
		if changed {
			u.publish(string(call.Peer))
		}
	}
	age := time.Duration(call.Answer.Reply.AgeMillis) * time.Millisecond
	u.source.RecordTable(call.SentAt.Add(-age))
}

// tablePosition returns the position of a balancer as far as it concerns the configuration.
func tablePosition(version, revision int) hickorydirectory.Position {
	return hickorydirectory.Position{Version: version, Table: hickorydirectory.Revision(revision)}
}
