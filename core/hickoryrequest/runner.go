package hickoryrequest

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// queuePerSlot bounds the requests that wait for a slot. A longer queue would
// only hold requests until their deadlines have passed.
const queuePerSlot = 4

// Reasons of responses other than done.
const (
	ReasonOverloaded = "overloaded"
	ReasonDeadline   = "deadline"
	ReasonCanceled   = "canceled"
	ReasonLeaving    = "leaving"
	ReasonLedgerLost = "ledgerLost"
	// ReasonResponseDropped says that the request ran, but its response is no
	// longer there to be repeated.
	ReasonResponseDropped = "responseDropped"
)

// Verb says what to do with an Action of the Runner.
type Verb uint8

// Verbs of actions.
const (
	// VerbRun gives Body to the upstream on a socket of its own.
	VerbRun Verb = iota
	// VerbAbandon closes the request's socket, so that a late answer of the
	// upstream is not taken for the answer to another request.
	VerbAbandon
	// VerbRespond sends Body with Outcome to the caller.
	VerbRespond
)

// Action is one effect that the Runner asks for.
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
	Remaining  time.Duration
	// Age is the time since the caller's first send.
	Age    time.Duration
	Cancel bool
	Body   []byte
	// CertainSince is the time since when no other agent can have been given a
	// request of this flow.
	CertainSince hickorymodel.Instant
}

// job is a request that has not ended.
type job struct {
	flow     hickorymodel.FlowKey
	entry    *entry
	deadline hickorymodel.Instant
	// parts is nil once the request is whole.
	parts *Assembler
	body  []byte
}

// Runner runs the requests of one upstream. It is not safe for concurrent use.
type Runner struct {
	slots     int
	accepting bool
	ledger    *ledger
	// jobs holds the requests that have not ended, by id.
	jobs map[hickorymessage.RequestID]*job
	// queue holds whole requests that wait for a slot, in order of arrival.
	queue []*job
	// running is the number of requests that the upstream works on; it is never
	// above slots.
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

// SetSlots changes the number of slots.
func (r *Runner) SetSlots(slots int) {
	r.slots = slots
}

// SetAccepting says whether new requests are taken.
func (r *Runner) SetAccepting(accepting bool) {
	r.accepting = accepting
}

// OpenRequests returns the number of requests that have not ended.
func (r *Runner) OpenRequests() int {
	return len(r.jobs)
}

// Flow returns the flow of a request that has not ended.
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
	known := r.ledger.find(part.Request)
	switch {
	case part.Cancel:
		r.cancel(now, part, known)
	case known == nil:
		r.begin(now, part)
	case known.stage == stageEnded && part.Index > 0:
		// The datagram with index 0 of the same attempt gets the answer.
	case known.stage == stageEnded:
		r.respond(part.Flow, known)
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
		// Without an entry no answer can be given that stays true for the
		// repetitions that are still on their way.
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

// refusal returns the outcome of a request that is not taken.
func (r *Runner) refusal(now hickorymodel.Instant, part Part) (hickorymessage.Outcome, string, bool) {
	switch {
	case !part.Idempotent && !certain(now, part):
		return hickorymessage.OutcomeUnknown, ReasonLedgerLost, true
	case !r.accepting:
		return notRun(now, part), ReasonLeaving, true
	case part.Remaining <= 0:
		return notRun(now, part), ReasonDeadline, true
	case len(r.jobs) >= r.slots*(1+queuePerSlot):
		return notRun(now, part), ReasonOverloaded, true
	default:
		return "", "", false
	}
}

// notRun returns the outcome of a request that this agent has not run. Only a
// certain absence elsewhere makes it a promise.
func notRun(now hickorymodel.Instant, part Part) hickorymessage.Outcome {
	if certain(now, part) {
		return hickorymessage.OutcomeNotRun
	}
	return hickorymessage.OutcomeUnknown
}

// certain reports whether no upstream can have been given the request. One whose
// first send lies before the time that the agent can vouch for may have run
// elsewhere, or here before a restart. This holds for a first attempt too: the
// network may have repeated it, and one copy may have arrived before the restart.
func certain(now hickorymodel.Instant, part Part) bool {
	firstSend := now.Add(-part.Age - transitBound)
	return part.CertainSince.Before(firstSend)
}

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

// startNext gives waiting requests to the upstream while it has free slots.
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

// cancel withdraws a request. One that the upstream may have been given cannot
// be promised not to have run.
func (r *Runner) cancel(now hickorymodel.Instant, part Part, known *entry) {
	j := r.jobs[part.Request]
	switch {
	case known == nil:
		r.cancelUnseen(now, part)
	case j == nil:
		r.respond(part.Flow, known)
	case j.entry.stage == stageQueued:
		r.removeQueued(j)
		r.end(j, hickorymessage.OutcomeNotRun, ReasonCanceled, nil)
	default:
		r.abandon(j, ReasonCanceled)
	}
}

// cancelUnseen keeps a request from running that its cancellation has overtaken.
func (r *Runner) cancelUnseen(now hickorymodel.Instant, part Part) {
	e, ok := r.ledger.add(now, now.Add(min(part.Remaining, MaxDeadline)), part.Request)
	if !ok {
		return
	}
	outcome := hickorymessage.OutcomeUnknown
	if certain(now, part) {
		outcome = hickorymessage.OutcomeNotRun
	}
	e.end(outcome, ReasonCanceled)
	r.respond(part.Flow, e)
}

// abandon ends a request that the upstream has been given.
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

// overdue returns the overdue requests in the order of the ledger, so that the
// actions do not depend on the order of a map.
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

func (r *Runner) end(j *job, outcome hickorymessage.Outcome, reason string, body []byte) {
	j.entry.end(outcome, reason)
	r.ledger.keepResponse(j.entry, body)
	delete(r.jobs, j.entry.id)
	r.respond(j.flow, j.entry)
}

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
