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
	// firstRetry doubles with each try up to maxRetry, as TCP does.
	firstRetryInterval = 200 * time.Millisecond
	maxRetryInterval   = 2 * time.Second
	// standardTries gives a flow about 9 s to get an answer.
	defaultMaxAttempts = 7
	// latencyMax and latencyDigits set the range and precision of latencies in microseconds.
	maxLatencyMicroseconds   = 60_000_000
	latencySignificantDigits = 3
	// firstPort and lastPort are the source ports of flows from one caller address.
	firstPort = 10_000
	lastPort  = 60_000
)

// Target is a service as callers see it.
type Target struct {
	Service hickoryid.ServiceName
	Address netip.AddrPort
}

// Caller plays the clients: it opens flows and sends requests on them.
type Caller struct {
	fabric   hickorymodel.Endpoint
	interval time.Duration
	group    *hickoryduty.Group
	socket   *hickorysocket.Socket
	received *hickoryring.FrameRing
	codec    *hickorygeneve.Codec
	// wake holds one value when the first entry of due may have changed.
	wake chan struct{}

	mutex  sync.Mutex
	random *rand.Rand
	// tries is the number of sends after which a flow counts as silent.
	attempts    int
	flows       map[hickorymodel.SocketAddress]*callerFlow
	due         flowHeap
	nextAddress netip.Addr
	nextPort    uint16
	// lastFlow is the number of the last flow; request ids contain it.
	lastFlowNumber int
	counts         callerCounts
	// notRun holds the requests that were refused; each flow adds at most one a second.
	notRun []hickorypayload.RequestNumber
	// firstOpenedAt is the time at which the first flow opened.
	firstOpenedAt time.Time
	latency       *hdrhistogram.Histogram
}

// callerCounts are the caller's sums over all flows.
type callerCounts struct {
	// retries counts segments that were sent again, foreign answers that are
	// not the complete answer to the flow's request.
	retries  int
	requests int
	segments int
	foreign  int
}

// NewCaller returns a caller whose flows come from addresses from firstAddress on.
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

// flowBits is the number of flows of one caller, as a power of two.
const flowNumberBits = 19

// firstFlow returns where a caller's flow numbers start, so that callers with
// different addresses never use the same request id.
func firstFlowNumber(address netip.Addr) int {
	bytes := address.As16()
	return (int(bytes[13])<<16 | int(bytes[14])<<8 | int(bytes[15])) << flowNumberBits
}

// SetMaxAttempts sets the number of sends after which a flow counts as silent.
func (c *Caller) SetMaxAttempts(attempts int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.attempts = attempts
}

// Start runs the caller until Close.
func (c *Caller) Start(ctx context.Context) {
	c.group.Start(ctx)
}

// Close ends the caller.
func (c *Caller) Close() error {
	err := c.group.Close()
	_ = c.socket.Close()
	return err
}

// Open starts new long-lived flows to a service, spread over a time.
func (c *Caller) Open(target Target, count int, spread time.Duration) {
	c.open(target, count, spread, 0)
}

// OpenShort starts new flows that close after a number of requests.
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

// GiveUpFlows ends the flows of some upstreams, as callers do whose zone is taken
// out of service, and those of the past that broke on them.
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
