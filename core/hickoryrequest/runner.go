package hickoryrequest

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// queuePerSlot bounds the queue: at most this many requests wait for each slot. In
// a longer queue, requests would only wait until their deadlines have passed.
const queuePerSlot = 4

// Reasons of responses whose outcome is not done.
const (
	ReasonOverloaded = "overloaded"
	ReasonDeadline   = "deadline"
	ReasonCanceled   = "canceled"
	ReasonLeaving    = "leaving"
	// ReasonLedgerLost means that the request may have run elsewhere or before a
	// restart of the agent, for which this agent has no ledger.
	ReasonLedgerLost = "ledgerLost"
	// ReasonResponseDropped means that the request ran, but its response is no
	// longer stored and cannot be sent again.
	ReasonResponseDropped = "responseDropped"
)

// Verb is the kind of an Action.
type Verb uint8

// Verbs of actions.
const (
	// VerbRun sends Body to the upstream on a socket that only this request uses.
	VerbRun Verb = iota
	// VerbAbandon closes the request's socket, so that a late answer of the
	// upstream is not matched to another request.
	VerbAbandon
	// VerbRespond sends Body with Outcome to the caller.
	VerbRespond
)

// Action is one step that the user of a Runner must carry out.
type Action struct {
	Verb    Verb
	Flow    hickorymodel.FlowKey
	Request hickorymessage.RequestID
	Outcome hickorymessage.Outcome
	Reason  string
	Body    []byte
}

// Part is one datagram of a request as the agent received it.
type Part struct {
	Flow       hickorymodel.FlowKey
	Request    hickorymessage.RequestID
	Idempotent bool
	Attempt    int
	Index      int
	Count      int
	// Remaining is the time from the sending of this datagram to the deadline.
	Remaining time.Duration
	// Age is the time from the caller's first attempt to this one.
	Age    time.Duration
	Cancel bool
	Body   []byte
	// CertainSince is the time since which no other agent can have received a
	// request of this flow.
	CertainSince hickorymodel.Instant
}

// job is a request that has not ended.
type job struct {
	flow     hickorymodel.FlowKey
	entry    *entry
	deadline hickorymodel.Instant
	// parts is nil once all parts have arrived and body is set.
	parts *Assembler
	body  []byte
}

// Runner is the agent's state machine for the requests of one upstream. It queues
// requests and sends as many to the upstream at once as there are slots. It does not
// start a request again that is in its ledger. It is not safe for concurrent use.
type Runner struct {
	slots     int
	accepting bool
	ledger    *ledger
	// jobs holds the requests that have not ended, by id.
	jobs map[hickorymessage.RequestID]*job
	// queue holds requests whose parts have all arrived and that wait for a slot, in
	// the order in which their last parts arrived.
	queue []*job
	// running is the number of requests sent to the upstream that have not ended.
	// A request is started only while running is below slots.
	running int
	actions []Action
}

// NewRunner returns a runner for an upstream with a number of slots.
func NewRunner(slots int) *Runner {
	return &Runner{
		slots:     slots,
		accepting: true,
		ledger:    newLedger(),
		jobs:      map[hickorymessage.RequestID]*job{},
	}
}

// SetSlots changes the number of slots. Running requests go on.
func (r *Runner) SetSlots(slots int) {
	r.slots = slots
}

// SetAccepting sets whether new requests are accepted. While accepting is false,
// new requests get the reason leaving.
func (r *Runner) SetAccepting(accepting bool) {
	r.accepting = accepting
}

// OpenRequests returns the number of requests that have not ended.
func (r *Runner) OpenRequests() int {
	return len(r.jobs)
}

// Flow returns the flow of a request, or false if the request has ended.
func (r *Runner) Flow(id hickorymessage.RequestID) (hickorymodel.FlowKey, bool) {
	j := r.jobs[id]
	if j == nil {
		return hickorymodel.FlowKey{}, false
	}
	return j.flow, true
}

// Receive handles one datagram of a caller. The actions are valid until the next call.
func (r *Runner) Receive(now hickorymodel.Instant, part Part) []Action {
	r.actions = r.actions[:0]
	recorded := r.ledger.find(part.Request)
	switch {
	case part.Cancel:
		r.cancel(now, part, recorded)
	case recorded == nil:
		r.begin(now, part)
	case recorded.stage == stageEnded && part.Index > 0:
		// The response is sent once per attempt, for the datagram with index 0.
	case recorded.stage == stageEnded:
		r.respond(part.Flow, recorded)
	default:
		r.addPart(now, part)
	}
	return r.actions
}

// begin handles the first datagram of a request that is not in the ledger.
func (r *Runner) begin(now hickorymodel.Instant, part Part) {
	deadline := now.Add(min(part.Remaining, MaxDeadline))
	e, ok := r.ledger.add(now, deadline, part.Request)
	if !ok {
		// Without an entry, a later copy of the request could get another outcome
		// than the one sent now, so no response is sent.
		return
	}
	if outcome, reason, refused := r.refusal(now, part); refused {
		e.end(outcome, reason)
		r.respond(part.Flow, e)
		return
	}
	r.jobs[part.Request] = &job{
		flow:     part.Flow,
		entry:    e,
		deadline: deadline,
		parts:    NewAssembler(part.Count),
	}
	r.addPart(now, part)
}

// refusal returns the outcome and the reason of a new request that is not accepted,
// or false if the request is accepted.
func (r *Runner) refusal(now hickorymodel.Instant, part Part) (hickorymessage.Outcome, string, bool) {
	switch {
	case !part.Idempotent && !certainlyNotRun(now, part):
		return hickorymessage.OutcomeUnknown, ReasonLedgerLost, true
	case !r.accepting:
		return notRunOutcome(now, part), ReasonLeaving, true
	case part.Remaining <= 0:
		return notRunOutcome(now, part), ReasonDeadline, true
	case len(r.jobs) >= r.slots*(1+queuePerSlot):
		return notRunOutcome(now, part), ReasonOverloaded, true
	default:
		return "", "", false
	}
}

// notRunOutcome returns the outcome of a request that this agent does not run:
// notRun if the request has certainly not run anywhere, else unknown.
func notRunOutcome(now hickorymodel.Instant, part Part) hickorymessage.Outcome {
	if certainlyNotRun(now, part) {
		return hickorymessage.OutcomeNotRun
	}
	return hickorymessage.OutcomeUnknown
}

// certainlyNotRun reports whether no upstream can have received the request. A
// request whose first attempt was sent before CertainSince may have run at another
// agent, or at this one before a restart. This holds for a first attempt too: the
// network may have duplicated it, and one copy may have arrived before the restart.
// maxTransitTime accounts for the time that the datagram spent in the network.
func certainlyNotRun(now hickorymodel.Instant, part Part) bool {
	firstSend := now.Add(-part.Age - maxTransitTime)
	return part.CertainSince.Before(firstSend)
}

// addPart stores a part of a request and queues the request when all have arrived.
func (r *Runner) addPart(now hickorymodel.Instant, part Part) {
	j := r.jobs[part.Request]
	if j == nil || j.parts == nil || !j.parts.Add(part.Index, part.Count, part.Body) {
		return
	}
	j.body = j.parts.Body()
	j.parts = nil
	r.queue = append(r.queue, j)
	r.startNext(now)
}

// startNext starts queued requests while there are free slots.
func (r *Runner) startNext(now hickorymodel.Instant) {
	for r.running < r.slots && len(r.queue) > 0 {
		j := r.queue[0]
		r.queue = r.queue[1:]
		if !now.Before(j.deadline) {
			r.end(j, hickorymessage.OutcomeNotRun, ReasonDeadline, nil)
			continue
		}
		r.running++
		j.entry.stage = stageRunning
		r.actions = append(r.actions, Action{Verb: VerbRun, Flow: j.flow, Request: j.entry.id, Body: j.body})
		j.body = nil
	}
}

// ReceiveAnswer handles the upstream's answer to a request. The actions are valid
// until the next call.
func (r *Runner) ReceiveAnswer(now hickorymodel.Instant, id hickorymessage.RequestID, body []byte) []Action {
	r.actions = r.actions[:0]
	if j := r.jobs[id]; j != nil && j.entry.stage == stageRunning {
		r.running--
		r.end(j, hickorymessage.OutcomeDone, "", body)
		r.startNext(now)
	}
	return r.actions
}

// cancel handles the cancellation of a request. The outcome is notRun only if the
// request was still queued; a running request may have taken effect, so its outcome
// is unknown.
func (r *Runner) cancel(now hickorymodel.Instant, part Part, recorded *entry) {
	j := r.jobs[part.Request]
	switch {
	case recorded == nil:
		r.cancelUnseen(now, part)
	case j == nil:
		r.respond(part.Flow, recorded)
	case j.entry.stage == stageQueued:
		r.removeQueued(j)
		r.end(j, hickorymessage.OutcomeNotRun, ReasonCanceled, nil)
	default:
		r.abandon(j, ReasonCanceled)
	}
}

// cancelUnseen handles a cancellation that arrives before its request. It records
// the request as ended, so that the request does not run when it arrives.
func (r *Runner) cancelUnseen(now hickorymodel.Instant, part Part) {
	e, ok := r.ledger.add(now, now.Add(min(part.Remaining, MaxDeadline)), part.Request)
	if !ok {
		return
	}
	outcome := hickorymessage.OutcomeUnknown
	if certainlyNotRun(now, part) {
		outcome = hickorymessage.OutcomeNotRun
	}
	e.end(outcome, ReasonCanceled)
	r.respond(part.Flow, e)
}

// abandon ends a running request with the outcome unknown.
func (r *Runner) abandon(j *job, reason string) {
	r.running--
	r.actions = append(r.actions, Action{Verb: VerbAbandon, Flow: j.flow, Request: j.entry.id})
	r.end(j, hickorymessage.OutcomeUnknown, reason, nil)
}

func (r *Runner) removeQueued(j *job) {
	for i := range r.queue {
		if r.queue[i] == j {
			r.queue = append(r.queue[:i], r.queue[i+1:]...)
			return
		}
	}
}

// Tick ends requests whose deadlines have passed. The actions are valid until
// the next call.
func (r *Runner) Tick(now hickorymodel.Instant) []Action {
	r.actions = r.actions[:0]
	for _, j := range r.overdue(now) {
		if j.entry.stage == stageRunning {
			r.abandon(j, ReasonDeadline)
			continue
		}
		r.removeQueued(j)
		r.end(j, hickorymessage.OutcomeNotRun, ReasonDeadline, nil)
	}
	r.startNext(now)
	r.ledger.expire(now)
	return r.actions
}

// overdue returns the requests whose deadlines have passed, in the order of the
// ledger, so that the actions do not depend on the iteration order of a map.
func (r *Runner) overdue(now hickorymodel.Instant) []*job {
	var jobs []*job
	for _, e := range r.ledger.order {
		j := r.jobs[e.id]
		if j != nil && !now.Before(j.deadline) {
			jobs = append(jobs, j)
		}
	}
	return jobs
}

// end records the outcome of a request and sends the response.
func (r *Runner) end(j *job, outcome hickorymessage.Outcome, reason string, body []byte) {
	j.entry.end(outcome, reason)
	r.ledger.storeResponse(j.entry, body)
	delete(r.jobs, j.entry.id)
	r.respond(j.flow, j.entry)
}

// respond adds the action that sends the recorded outcome to the caller.
func (r *Runner) respond(flow hickorymodel.FlowKey, e *entry) {
	r.actions = append(r.actions, Action{
		Verb:    VerbRespond,
		Flow:    flow,
		Request: e.id,
		Outcome: e.outcome,
		Reason:  e.reason,
		Body:    e.response,
	})
}
