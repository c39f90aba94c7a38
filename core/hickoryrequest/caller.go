package hickoryrequest

import (
	"encoding/hex"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

const (
	// firstRetryTime doubles with each repetition; jitter of up to half of it is added.
	firstRetryTime = 200 * time.Millisecond
	maxRetryTime   = 5 * time.Second
	// retryShare and retryBurst are the retry budget: one repetition for each
	// five requests in the long run, so that retries do not multiply an overload.
	retryShare = 0.2
	retryBurst = 20
	// MaxDeadline is the longest deadline of a request. With transitBound it is
	// below the idle time of UDP flows (60 s), so that the owner of a flow does
	// not forget it while datagrams of a request can still arrive.
	MaxDeadline = 30 * time.Second
)

// Result is the end of a request as its caller sees it.
type Result struct {
	Request hickorymessage.RequestID
	Outcome hickorymessage.Outcome
	Reason  string
	Body    []byte
}

// OutgoingPart is one datagram that the caller must send.
type OutgoingPart struct {
	Part hickorymessage.RequestPart
	Body []byte
}

// call is a request that has no result yet.
type call struct {
	id         hickorymessage.RequestID
	idempotent bool
	parts      [][]byte
	sentAt     hickorymodel.Instant
	deadline   hickorymodel.Instant
	retryAt    hickorymodel.Instant
	attempt    int
	// response is nil until the first part of a response has arrived.
	response *Assembler
}

// Caller sends requests on one flow and matches the responses. It is not safe
// for concurrent use.
type Caller struct {
	random *rand.Rand
	calls  map[hickorymessage.RequestID]*call
	// order holds the calls in the order of their first sends.
	order []*call
	// retryCredit is the retry budget, between 0 and retryBurst.
	retryCredit float64
}

// NewCaller returns a caller without requests.
func NewCaller(random *rand.Rand) *Caller {
	return &Caller{
		random:      random,
		calls:       map[hickorymessage.RequestID]*call{},
		retryCredit: retryBurst,
	}
}

// Start begins a request and returns its id and its datagrams.
func (c *Caller) Start(now hickorymodel.Instant, body []byte, idempotent bool, deadline time.Duration) (hickorymessage.RequestID, []OutgoingPart, error) {
	if deadline <= 0 || deadline > MaxDeadline {
		return "", nil, errors.Errorf("deadline %s is not between 0 and %s", deadline, MaxDeadline)
	}
	parts, err := Split(body)
	if err != nil {
		return "", nil, err
	}
	started := &call{
		id:         c.newID(),
		idempotent: idempotent,
		parts:      parts,
		sentAt:     now,
		deadline:   now.Add(deadline),
	}
	c.calls[started.id] = started
	c.order = append(c.order, started)
	c.retryCredit = min(c.retryCredit+retryShare, retryBurst)
	return started.id, c.send(now, started), nil
}

func (c *Caller) newID() hickorymessage.RequestID {
	var raw [16]byte
	for i := range raw {
		raw[i] = byte(c.random.Uint32())
	}
	return hickorymessage.RequestID(hex.EncodeToString(raw[:]))
}

// send returns the datagrams of the next attempt and sets the time of the one after.
func (c *Caller) send(now hickorymodel.Instant, started *call) []OutgoingPart {
	pause := min(firstRetryTime<<started.attempt, maxRetryTime)
	started.retryAt = now.Add(pause + time.Duration(c.random.Int64N(int64(pause/2))))
	started.attempt++
	sends := make([]OutgoingPart, 0, len(started.parts))
	for i, body := range started.parts {
		sends = append(sends, OutgoingPart{Body: body, Part: hickorymessage.RequestPart{
			Request:         started.id,
			Idempotent:      started.idempotent,
			Attempt:         started.attempt,
			Part:            i,
			Parts:           len(started.parts),
			RemainingMillis: int(started.deadline.Sub(now).Milliseconds()),
			AgeMillis:       int(now.Sub(started.sentAt).Milliseconds()),
		}})
	}
	return sends
}

// Receive handles one datagram of a response. It reports a result when the
// request has ended; responses to other requests are left out.
func (c *Caller) Receive(part hickorymessage.ResponsePart, body []byte) (Result, bool) {
	started := c.calls[part.Request]
	if started == nil {
		return Result{}, false
	}
	if part.Outcome != hickorymessage.OutcomeDone {
		c.remove(started)
		return Result{Request: part.Request, Outcome: part.Outcome, Reason: part.Reason}, true
	}
	if started.response == nil {
		started.response = NewAssembler(part.Parts)
	}
	if !started.response.Add(part.Part, part.Parts, body) {
		return Result{}, false
	}
	c.remove(started)
	return Result{
		Request: part.Request,
		Outcome: hickorymessage.OutcomeDone,
		Body:    started.response.Body(),
	}, true
}

// Tick returns the datagrams to repeat and the requests whose deadlines have
// passed. What became of those is unknown.
func (c *Caller) Tick(now hickorymodel.Instant) ([]OutgoingPart, []Result) {
	var sends []OutgoingPart
	var results []Result
	for _, started := range append([]*call(nil), c.order...) {
		switch {
		case !now.Before(started.deadline):
			c.remove(started)
			results = append(results, Result{
				Request: started.id,
				Outcome: hickorymessage.OutcomeUnknown,
				Reason:  ReasonDeadline,
			})
		case !now.Before(started.retryAt) && c.retryCredit >= 1:
			c.retryCredit--
			sends = append(sends, c.send(now, started)...)
		default:
		}
	}
	return sends, results
}

// Cancel withdraws a request and returns the datagram that says so. The result
// still comes through Receive or Tick.
func (c *Caller) Cancel(now hickorymodel.Instant, id hickorymessage.RequestID) (OutgoingPart, bool) {
	started := c.calls[id]
	if started == nil {
		return OutgoingPart{}, false
	}
	return OutgoingPart{Part: hickorymessage.RequestPart{
		Request:         id,
		Attempt:         started.attempt,
		Parts:           len(started.parts),
		RemainingMillis: max(int(started.deadline.Sub(now).Milliseconds()), 0),
		AgeMillis:       int(now.Sub(started.sentAt).Milliseconds()),
		Cancel:          true,
	}}, true
}

func (c *Caller) remove(ended *call) {
	delete(c.calls, ended.id)
	for i := range c.order {
		if c.order[i] == ended {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}
