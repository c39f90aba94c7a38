package hickorystandin

import (
	"container/heap"
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

const (
	callerRingCapacity = 8192
	// firstRetryInterval is the time until a segment without a reply is sent
	// again. It doubles with each attempt up to maxRetryInterval, as in TCP.
	firstRetryInterval = 200 * time.Millisecond
	maxRetryInterval   = 2 * time.Second
	// defaultMaxAttempts gives a flow about 9 s to get a reply.
	defaultMaxAttempts = 7
	// maxLatencyMicroseconds and latencySignificantDigits are the range and the
	// precision of the latency histogram.
	maxLatencyMicroseconds   = 60_000_000
	latencySignificantDigits = 3
	// firstPort and lastPort bound the source ports of one caller address.
	firstPort = 10_000
	lastPort  = 60_000
)

// Target is the service address that a flow is opened to, and the service that
// has to reply from there.
type Target struct {
	Service hickoryid.ServiceName
	Address netip.AddrPort
}

// Caller is the stand-in for clients: it opens flows and sends requests on them.
type Caller struct {
	fabric hickorymodel.Endpoint
	// interval is the mean time from the reply to a request to the next request
	// of the flow.
	interval time.Duration
	group    *hickoryduty.Group
	socket   *hickorysocket.Socket
	received *hickoryring.FrameRing
	codec    *hickorygeneve.Codec
	// wake holds one value if the first entry of due may have changed. The duty
	// "send" waits for it.
	wake chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
	// attempts is the maximum number of sends of one segment. A flow that gets
	// no reply to them ends in the state that stateAfterTimeout returns.
	attempts int
	// flows maps source addresses to flows; due orders the live ones by their next
	// send.
	flows       map[hickorymodel.SocketAddress]*callerFlow
	due         flowHeap
	nextAddress netip.Addr
	nextPort    uint16
	// lastFlowNumber is the number of the flow opened last. Request ids contain
	// the flow number.
	lastFlowNumber int
	counts         callerCounts
	// notRun holds the requests that upstreams refused. Each flow adds at most
	// one a second.
	notRun []hickorypayload.RequestNumber
	// firstOpenedAt is the time at which the first flow opened.
	firstOpenedAt time.Time
	// latency holds the times, in microseconds, from the first send of a segment
	// to its reply.
	latency *hdrhistogram.Histogram
}

// callerCounts are the caller's sums over all flows.
type callerCounts struct {
	// retries counts segments that were sent again; foreign counts replies that
	// are not the complete reply to a request of the flow.
	retries  int
	requests int
	segments int
	foreign  int
}

// NewCaller opens the socket of a caller. Its flows have source addresses from
// firstAddress upwards. A flow waits for interval on average between a reply and
// its next request.
func NewCaller(fabric hickorymodel.Endpoint, firstAddress netip.Addr, interval time.Duration, logger *hickorylog.Logger, random *rand.Rand) (*Caller, error) {
	c := &Caller{
		fabric:         fabric,
		interval:       interval,
		group:          hickoryduty.New("caller", logger),
		received:       hickoryring.NewFrameRing(callerRingCapacity, hickoryring.DropNewest),
		codec:          hickorygeneve.NewCodec(),
		wake:           make(chan struct{}, 1),
		random:         random,
		attempts:       defaultMaxAttempts,
		flows:          map[hickorymodel.SocketAddress]*callerFlow{},
		nextAddress:    firstAddress,
		nextPort:       firstPort,
		lastFlowNumber: firstFlowNumber(firstAddress),
		latency:        hdrhistogram.New(1, maxLatencyMicroseconds, latencySignificantDigits),
	}
	var err error
	if c.socket, err = hickorysocket.Open(loopback()); err != nil {
		return nil, err
	}
	c.group.Add("receive", func(ctx context.Context) error { return c.socket.Receive(ctx, c.received) })
	c.group.Add("read answers", c.receiveReplies)
	c.group.Add("drive", c.sendDueSegments)
	return c, nil
}

// flowNumberBits is the base-2 logarithm of the number of flows that one caller
// can open.
const flowNumberBits = 19

// firstFlowNumber returns the start of a caller's flow numbers. It contains the
// address, so that callers with different addresses never use the same request
// id.
func firstFlowNumber(address netip.Addr) int {
	bytes := address.As16()
	return (int(bytes[13])<<16 | int(bytes[14])<<8 | int(bytes[15])) << flowNumberBits
}

// SetMaxAttempts sets how often a segment is sent before its flow counts as
// failed.
func (c *Caller) SetMaxAttempts(attempts int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts = attempts
}

// Start runs the caller until Close.
func (c *Caller) Start(ctx context.Context) {
	c.group.Start(ctx)
}

// Close stops the caller and closes its socket.
func (c *Caller) Close() error {
	err := c.group.Close()
	_ = c.socket.Close()
	return err
}

// Open opens new long-lived flows to a service, spread evenly over a period.
func (c *Caller) Open(target Target, count int, spread time.Duration) {
	c.open(target, count, spread, 0)
}

// OpenShort opens new flows that close after a number of requests.
func (c *Caller) OpenShort(target Target, count int, spread time.Duration, requests int) {
	c.open(target, count, spread, requests)
}

func (c *Caller) open(target Target, count int, spread time.Duration, requests int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for i := range count {
		c.lastFlowNumber++
		flow := &callerFlow{
			number:   c.lastFlowNumber,
			requests: requests,
			source:   c.nextSource(),
			target:   target,
			state:    FlowOpening,
			dueAt:    now.Add(spread * time.Duration(i) / time.Duration(count)),
		}
		c.flows[flow.source] = flow
		heap.Push(&c.due, flow)
	}
	signal(c.wake)
}

func (c *Caller) nextSource() hickorymodel.SocketAddress {
	source := hickorymodel.NewSocketAddress(netip.AddrPortFrom(c.nextAddress, c.nextPort))
	c.nextPort++
	if c.nextPort > lastPort {
		c.nextPort = firstPort
		c.nextAddress = c.nextAddress.Next()
	}
	return source
}

// GiveUpFlows ends the live flows of the given upstreams, as callers do when a
// zone is taken out of service. Flows that broke before keep their state.
func (c *Caller) GiveUpFlows(upstreams map[hickoryid.UpstreamID]struct{}) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, flow := range c.flows {
		_, listed := upstreams[flow.upstream]
		if listed && flow.state.live() {
			c.endFlow(flow, FlowGivenUp)
		}
	}
}
