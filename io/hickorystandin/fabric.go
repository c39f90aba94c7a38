package hickorystandin

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
)

const fabricRingCapacity = 8192

// Fabric is the stand-in for the network in front of the balancers. It sprays
// packets: each packet of a caller goes to a random balancer, whatever its flow.
// Packets of upstreams go to the caller of their flow.
type Fabric struct {
	group *hickoryduty.Group
	// The front socket receives from callers, the back socket from upstreams.
	frontEndpoint hickorymodel.Endpoint
	backEndpoint  hickorymodel.Endpoint
	front         *hickorysocket.Socket
	back          *hickorysocket.Socket
	inbound       *hickoryring.FrameRing
	outbound      *hickoryring.FrameRing

	// carrier sends the packets to the balancers; nil sends them directly.
	carrier hickorysocket.Carrier

	mutex     sync.Mutex
	random    *rand.Rand
	balancers []hickorymodel.Endpoint
	// pinned maps a caller address to the balancer that all its packets go to.
	pinned map[[16]byte]hickorymodel.Endpoint
	// callers maps the source address of a flow to the socket of its caller.
	callers map[hickorymodel.SocketAddress]hickorymodel.Endpoint
}

// FabricOption changes a fabric at construction.
type FabricOption func(*Fabric)

// WithFabricCarrier sets the function that carries the packets to the balancers.
func WithFabricCarrier(carrier hickorysocket.Carrier) FabricOption {
	return func(f *Fabric) {
		f.carrier = carrier
	}
}

// WithFabricEndpoints sets the sockets for callers and for upstreams.
func WithFabricEndpoints(front, back hickorymodel.Endpoint) FabricOption {
	return func(f *Fabric) {
		f.frontEndpoint = front
		f.backEndpoint = back
	}
}

// NewFabric opens the fabric's sockets, on free loopback ports unless an option
// names others.
func NewFabric(logger *hickorylog.Logger, random *rand.Rand, options ...FabricOption) (*Fabric, error) {
	f := &Fabric{
		group:         hickoryduty.New("fabric", logger),
		inbound:       hickoryring.NewFrameRing(fabricRingCapacity, hickoryring.DropNewest),
		outbound:      hickoryring.NewFrameRing(fabricRingCapacity, hickoryring.DropNewest),
		random:        random,
		callers:       map[hickorymodel.SocketAddress]hickorymodel.Endpoint{},
		pinned:        map[[16]byte]hickorymodel.Endpoint{},
		frontEndpoint: loopback(),
		backEndpoint:  loopback(),
	}
	for _, option := range options {
		option(f)
	}
	var err error
	if f.front, err = hickorysocket.Open(f.frontEndpoint, hickorysocket.WithCarrier(f.carrier)); err != nil {
		return nil, err
	}
	if f.back, err = hickorysocket.Open(f.backEndpoint); err != nil {
		_ = f.front.Close()
		return nil, err
	}
	f.group.Add("receive front", func(ctx context.Context) error { return f.front.Receive(ctx, f.inbound) })
	f.group.Add("receive back", func(ctx context.Context) error { return f.back.Receive(ctx, f.outbound) })
	f.group.Add("spray", f.spray)
	f.group.Add("return", f.returnReplies)
	return f, nil
}

func loopback() hickorymodel.Endpoint {
	return hickorymodel.Endpoint{Address: [4]byte{127, 0, 0, 1}}
}

// Start runs the fabric until Close.
func (f *Fabric) Start(ctx context.Context) {
	f.group.Start(ctx)
}

// Close stops the fabric and closes its sockets.
func (f *Fabric) Close() error {
	err := f.group.Close()
	_ = f.front.Close()
	_ = f.back.Close()
	return err
}

// Front returns the socket for callers.
func (f *Fabric) Front() hickorymodel.Endpoint {
	return f.front.Endpoint()
}

// Back returns the socket for upstreams.
func (f *Fabric) Back() hickorymodel.Endpoint {
	return f.back.Endpoint()
}

// SetBalancers replaces the balancers that packets are sprayed to.
func (f *Fabric) SetBalancers(balancers []hickorymodel.Endpoint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.balancers = append([]hickorymodel.Endpoint(nil), balancers...)
}

// Pin sends all packets from one caller address to one balancer. Probes use it to
// reach each balancer.
func (f *Fabric) Pin(source netip.Addr, balancer hickorymodel.Endpoint) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pinned[source.As16()] = balancer
}

// spray sends each packet from a caller to the balancer chosen for it.
func (f *Fabric) spray(ctx context.Context) error {
	codec := hickorygeneve.NewCodec()
	var decoded hickorygeneve.Decoded
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-f.inbound.Items():
			if _, ok := codec.DecodePlain(frame.Bytes, &decoded); !ok || decoded.Message != nil {
				continue
			}
			target, ok := f.chooseBalancer(decoded.Packet.Key.Source, frame.Peer)
			if ok {
				f.front.Send(hickoryring.Frame{Peer: target, Bytes: frame.Bytes})
			}
		}
	}
}

// chooseBalancer returns the pinned balancer of the caller address or a random
// one, and records the socket of the caller for replies. It returns false if there
// is no balancer.
func (f *Fabric) chooseBalancer(caller hickorymodel.SocketAddress, socket hickorymodel.Endpoint) (hickorymodel.Endpoint, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.callers[caller] = socket
	if balancer, ok := f.pinned[caller.Address]; ok {
		return balancer, true
	}
	if len(f.balancers) == 0 {
		return hickorymodel.Endpoint{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))], true
}

// returnReplies sends each packet from an upstream to the caller of its flow.
func (f *Fabric) returnReplies(ctx context.Context) error {
	codec := hickorygeneve.NewCodec()
	var decoded hickorygeneve.Decoded
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame := <-f.outbound.Items():
			if _, ok := codec.DecodePlain(frame.Bytes, &decoded); !ok || decoded.Message != nil {
				continue
			}
			f.mutex.Lock()
			target, ok := f.callers[decoded.Packet.Key.Destination]
			f.mutex.Unlock()
			if ok {
				f.back.Send(hickoryring.Frame{Peer: target, Bytes: frame.Bytes})
			}
		}
	}
}
