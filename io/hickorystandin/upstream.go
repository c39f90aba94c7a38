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

// Upstream plays a TCP server behind its host's decapsulating interface. Like a
// kernel it answers a segment of a connection that it does not know with a reset.
type Upstream struct {
	config   UpstreamConfig
	group    *hickoryduty.Group
	socket   *hickorysocket.Socket
	received *hickoryring.FrameRing
	timers   *timerQueue
	// sender encodes for the work that timers complete and for answers; sending guards it.
	sendMutex sync.Mutex
	sendCodec *hickorygeneve.Codec

	mutex sync.Mutex
	// open holds the connections that the upstream has accepted or is accepting.
	connections map[hickorymodel.FlowKey]*connection
	// queue holds the work that waits for a slot; busy is the number of slots in use.
	queue  []work
	busy   int
	warmUp warmUp
	// drainedAt is zero until Drain.
	drainedAt time.Time
	runs      map[hickorypayload.RequestNumber]int
	accepted  map[hickorymodel.FlowKey]struct{}
	// firstAt holds the time of the first flow of each service address.
	firstOpenedAt map[hickorymodel.SocketAddress]time.Time
	counts        UpstreamCounts
	health        endpointSnapshot
}

// UpstreamConfig names an upstream and says what it can bear.
type UpstreamConfig struct {
	Service hickoryid.ServiceName
	ID      hickoryid.UpstreamID
	Number  hickoryid.ServiceNumber
	// Back is the fabric's socket for replies.
	Back hickorymodel.Endpoint
	// Endpoint is the decapsulating interface; the zero value takes a free loopback port.
	Endpoint hickorymodel.Endpoint
	Carrier  hickorysocket.Carrier
	// Slots is the number of requests worked on at once; 0 stands for no limit.
	Slots       hickoryid.Slots
	Connections hickoryid.Connections
	// WorkTime is the time a warm upstream needs for one request or opening.
	WorkTime time.Duration
	// WarmTime is the time from a cold start until the upstream bears its full
	// load; 0 stands for an upstream that starts warm.
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

// Close ends the upstream.
func (u *Upstream) Close() error {
	err := u.group.Close()
	_ = u.socket.Close()
	return err
}

// Endpoint returns the decapsulating interface.
func (u *Upstream) Endpoint() hickorymodel.Endpoint {
	return u.socket.Endpoint()
}

// Drain says that the upstream is leaving. It goes on serving; openings that
// still arrive are counted by their time.
func (u *Upstream) Drain() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.drainedAt = time.Now()
}

// ColdReset makes the upstream cold without a warning, as a restarted cache does.
func (u *Upstream) ColdReset() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.warmUp.start(time.Now(), len(u.connections))
}

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
