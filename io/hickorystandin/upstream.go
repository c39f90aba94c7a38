package hickorystandin

import (
	"context"
	"sync"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

const upstreamRingCapacity = 4096

// Upstream is the stand-in for a TCP server behind the decapsulating interface of
// its host. Like a kernel, it replies with a reset (RST) to a segment of an unknown
// connection.
type Upstream struct {
	config   UpstreamConfig
	group    *hickoryduty.Group
	socket   *hickorysocket.Socket
	received *hickoryring.FrameRing
	timers   *timerQueue
	// sendCodec encodes the replies. sendMutex guards it, because the timer
	// goroutine and the receiving goroutine both send.
	sendMutex sync.Mutex
	sendCodec *hickorygeneve.Codec

	mutex sync.Mutex
	// connections holds the connections that the upstream has accepted or is
	// accepting.
	connections map[hickorymodel.FlowKey]*connection
	// queue holds the work that waits for a slot; busy is the number of slots in use.
	queue  []work
	busy   int
	warmUp warmUp
	// drainedAt is the time of Drain, or zero before it.
	drainedAt time.Time
	// runs counts how often each request was run.
	runs     map[hickorypayload.RequestNumber]int
	accepted map[hickorymodel.FlowKey]struct{}
	// firstOpenedAt holds the time at which the first flow of each service
	// address was accepted.
	firstOpenedAt map[hickorymodel.SocketAddress]time.Time
	counts        UpstreamCounts
	health        endpointSnapshot
}

// UpstreamConfig holds the identity and the capacity of an upstream.
type UpstreamConfig struct {
	Service hickoryid.ServiceName
	ID      hickoryid.UpstreamID
	Number  hickoryid.ServiceNumber
	// Back is the socket of the fabric that replies are sent to.
	Back hickorymodel.Endpoint
	// Endpoint is the socket of the decapsulating interface; the zero value uses a
	// free loopback port.
	Endpoint hickorymodel.Endpoint
	Carrier  hickorysocket.Carrier
	// Slots is the number of requests processed at the same time; 0 is no limit.
	Slots hickoryid.Slots
	// Connections is the maximum number of open connections; 0 is no limit.
	Connections hickoryid.Connections
	// WorkTime is the time that a warm upstream needs for one request or opening.
	WorkTime time.Duration
	// WarmTime is the time from a cold start until the upstream can handle its
	// full load; 0 is an upstream that starts warm.
	WarmTime time.Duration
}

// NewUpstream opens the upstream's socket.
func NewUpstream(config UpstreamConfig, logger *hickorylog.Logger) (*Upstream, error) {
	u := &Upstream{
		config:        config,
		group:         hickoryduty.New(string(config.ID), logger),
		received:      hickoryring.NewFrameRing(upstreamRingCapacity, hickoryring.DropNewest),
		timers:        newTimerQueue(),
		sendCodec:     hickorygeneve.NewCodec(),
		connections:   map[hickorymodel.FlowKey]*connection{},
		runs:          map[hickorypayload.RequestNumber]int{},
		accepted:      map[hickorymodel.FlowKey]struct{}{},
		firstOpenedAt: map[hickorymodel.SocketAddress]time.Time{},
	}
	u.warmUp = newWarmUp(config)
	endpoint := config.Endpoint
	if endpoint.IsZero() {
		endpoint = loopback()
	}
	var err error
	if u.socket, err = hickorysocket.Open(endpoint, hickorysocket.WithCarrier(config.Carrier)); err != nil {
		return nil, err
	}
	u.group.Add("receive", func(ctx context.Context) error { return u.socket.Receive(ctx, u.received) })
	u.group.Add("answer", u.receiveSegments)
	u.group.Add("work", u.timers.run)
	return u, nil
}

// Start runs the upstream until Close.
func (u *Upstream) Start(ctx context.Context) {
	u.group.Start(ctx)
}

// Close stops the upstream and closes its socket.
func (u *Upstream) Close() error {
	err := u.group.Close()
	_ = u.socket.Close()
	return err
}

// Endpoint returns the socket of the decapsulating interface.
func (u *Upstream) Endpoint() hickorymodel.Endpoint {
	return u.socket.Endpoint()
}

// Drain marks the upstream as leaving. It goes on serving; openings that arrive
// later than LeavingTimeLimit from now are counted as late.
func (u *Upstream) Drain() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.drainedAt = time.Now()
}

// ColdReset makes the upstream cold without warning, as the restart of a cache
// does.
func (u *Upstream) ColdReset() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.warmUp.start(time.Now(), len(u.connections))
}

// receiveSegments handles the received packets and sends the replies to them.
func (u *Upstream) receiveSegments(ctx context.Context) error {
	codec := hickorygeneve.NewCodec()
	var decoded hickorygeneve.Decoded
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-u.received.Items():
			if _, ok := codec.DecodePlain(frame.Bytes, &decoded); !ok || decoded.Message != nil {
				continue
			}
			segment, err := DecodeSegment(decoded.Packet.Payload)
			if err != nil {
				continue
			}
			if reply, ok := u.handleSegment(decoded.Packet.Key, decoded.Packet.Service, &segment); ok {
				u.send(&reply)
			}
		}
	}
}

func (u *Upstream) send(reply *Segment) {
	packet, err := reply.Encode()
	if err != nil {
		return
	}
	u.sendMutex.Lock()
	defer u.sendMutex.Unlock()
	encoded, err := u.sendCodec.EncodePlain(u.config.Number, packet)
	if err == nil {
		u.socket.Send(hickoryring.Frame{Peer: u.config.Back, Bytes: append([]byte(nil), encoded...)})
	}
}
