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
	// firstRetryDelay is the time from the first attempt to the second. The delay
	// doubles with each further attempt, up to maxRetryDelay; jitter of up to half
	// of the delay is added.
	firstRetryDelay = 200 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
	// retryCreditPerRequest and maxRetryCredit define the retry budget: a new
	// request adds 0.2 to the credit and a retry costs 1. In the long run there is
	// one retry for every five requests, so that retries do not amplify an overload.
	retryCreditPerRequest = 0.2
	maxRetryCredit        = 20
	// MaxDeadline is the longest deadline of a request. MaxDeadline and
	// maxTransitTime together are below the idle time of UDP flows (60 s), so that
	// the owner of a flow still has its record of the flow while datagrams of a
	// request can arrive.
	MaxDeadline = 30 * time.Second
)

// Result is the outcome of a request at its caller. Body is the response if
// Outcome is done; Reason is set otherwise.
type Result struct {
	Request hickorymessage.RequestID
	Outcome hickorymessage.Outcome
	Reason  string
	Body    []byte
}

// OutgoingPart is one part of a request that must be sent to the service, as one
// datagram with the header Part.
type OutgoingPart struct {
	Part hickorymessage.RequestPart
	Body []byte
}

// pendingRequest is a request of a Caller that has no result yet.
type pendingRequest struct {
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
	random          *rand.Rand
	pendingRequests map[hickorymessage.RequestID]*pendingRequest
	// order holds the requests of pendingRequests in the order of their first attempts.
	order []*pendingRequest
	// retryCredit is the number of retries that may be sent now, between 0 and
	// maxRetryCredit.
	retryCredit float64
}

// NewCaller returns a caller without requests. The random source supplies request
// ids and the jitter of retries.
func NewCaller(random *rand.Rand) *Caller {
	return &Caller{
		random:          random,
		pendingRequests: map[hickorymessage.RequestID]*pendingRequest{},
		retryCredit:     maxRetryCredit,
	}
}

// Start begins a request and returns its id and the datagrams of the first
// attempt. It fails if the deadline is not between 0 and MaxDeadline or if the
// body is too large for Split.
func (c *Caller) Start(now hickorymodel.Instant, body []byte, idempotent bool, deadline time.Duration) (hickorymessage.RequestID, []OutgoingPart, error) {
	if deadline <= 0 || deadline > MaxDeadline {
		return "", nil, errors.Errorf("deadline %s is not between 0 and %s", deadline, MaxDeadline)
	}
	parts, err := Split(body)
	if err != nil {
		return "", nil, err
	}
	req := &pendingRequest{
		id:         c.newID(),
		idempotent: idempotent,
		parts:      parts,
		sentAt:     now,
		deadline:   now.Add(deadline),
	}
	c.pendingRequests[req.id] = req
	c.order = append(c.order, req)
	c.retryCredit = min(c.retryCredit+retryCreditPerRequest, maxRetryCredit)
	return req.id, c.send(now, req), nil
}

func (c *Caller) newID() hickorymessage.RequestID {
	var raw [16]byte
	for i := range raw {
		raw[i] = byte(c.random.Uint32())
	}
	return hickorymessage.RequestID(hex.EncodeToString(raw[:]))
}

// send returns the datagrams of the next attempt and sets the time of the attempt
// that follows it.
func (c *Caller) send(now hickorymodel.Instant, req *pendingRequest) []OutgoingPart {
	retryDelay := min(firstRetryDelay<<req.attempt, maxRetryDelay)
	req.retryAt = now.Add(retryDelay + time.Duration(c.random.Int64N(int64(retryDelay/2))))
	req.attempt++
	sends := make([]OutgoingPart, 0, len(req.parts))
	for i, body := range req.parts {
		sends = append(sends, OutgoingPart{Body: body, Part: hickorymessage.RequestPart{
			Request:         req.id,
			Idempotent:      req.idempotent,
			Attempt:         req.attempt,
			Part:            i,
			Parts:           len(req.parts),
			RemainingMillis: int(req.deadline.Sub(now).Milliseconds()),
			AgeMillis:       int(now.Sub(req.sentAt).Milliseconds()),
		}})
	}
	return sends
}

// Receive handles one datagram of a response. It returns a result and true when
// the datagram ends its request. Responses to requests that are not pending are
// ignored.
func (c *Caller) Receive(part hickorymessage.ResponsePart, body []byte) (Result, bool) {
	req := c.pendingRequests[part.Request]
	if req == nil {
		return Result{}, false
	}
	if part.Outcome != hickorymessage.OutcomeDone {
		c.remove(req)
		return Result{Request: part.Request, Outcome: part.Outcome, Reason: part.Reason}, true
	}
	if req.response == nil {
		req.response = NewAssembler(part.Parts)
	}
	if !req.response.Add(part.Part, part.Parts, body) {
		return Result{}, false
	}
	c.remove(req)
	return Result{
		Request: part.Request,
		Outcome: hickorymessage.OutcomeDone,
		Body:    req.response.Body(),
	}, true
}

// Tick returns the datagrams of retries that are due, as far as the retry budget
// allows, and the results of requests whose deadlines have passed. Those results
// have the outcome unknown, since such a request may or may not have run.
func (c *Caller) Tick(now hickorymodel.Instant) ([]OutgoingPart, []Result) {
	var sends []OutgoingPart
	var results []Result
	for _, req := range append([]*pendingRequest(nil), c.order...) {
		switch {
		case !now.Before(req.deadline):
			c.remove(req)
			results = append(results, Result{
				Request: req.id,
				Outcome: hickorymessage.OutcomeUnknown,
				Reason:  ReasonDeadline,
			})
		case !now.Before(req.retryAt) && c.retryCredit >= 1:
			c.retryCredit--
			sends = append(sends, c.send(now, req)...)
		default:
		}
	}
	return sends, results
}

// Cancel returns the datagram that cancels a request, or false if the request is
// not pending. The request stays pending until Receive or Tick returns its result.
func (c *Caller) Cancel(now hickorymodel.Instant, id hickorymessage.RequestID) (OutgoingPart, bool) {
	req := c.pendingRequests[id]
	if req == nil {
		return OutgoingPart{}, false
	}
	return OutgoingPart{Part: hickorymessage.RequestPart{
		Request:         id,
		Attempt:         req.attempt,
		Parts:           len(req.parts),
		RemainingMillis: max(int(req.deadline.Sub(now).Milliseconds()), 0),
		AgeMillis:       int(now.Sub(req.sentAt).Milliseconds()),
		Cancel:          true,
	}}, true
}

func (c *Caller) remove(req *pendingRequest) {
	delete(c.pendingRequests, req.id)
	for i := range c.order {
		if c.order[i] == req {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}
