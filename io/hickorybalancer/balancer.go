// Package hickorybalancer runs a balancer of the encapsulated fabric. That fabric
// sends the packets for service addresses, encapsulated, to the balancers. A balancer
// sends each packet on to an agent and stores nothing about flows.
//
// A balancer consists of duties, which are supervised goroutines joined by bounded
// rings. The receive, decide and send duties forward the packets. The duties of
// hickoryrelay provide the services in force and the lease, which allows forwarding
// for a limited time. The membership duty runs the failure detector; the probe duty
// sends its probes, and the tell duty sends views to other balancers. The renew duty
// changes the source port of the packets at regular intervals. The control duty
// serves RPC calls of other instances and of operators.
package hickorybalancer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymember"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/io/hickorystatus"
	"hickoryworks/io/hickorywatch"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
	"hickoryworks/schema/hickorysettings"
)

// Capacities of the packet rings, in datagrams. Each ring holds about 20 ms of packets
// at 200,000 packets a second.
const (
	receiveCapacity = 4096
	sendCapacity    = 4096
)

// Balancer sends each packet that it receives from the fabric on to an agent.
type Balancer struct {
	settings hickorysettings.Balancer
	logger   *hickorylog.Logger
	scope    tally.Scope
	carrier  hickorysocket.Carrier
	clock    *hickoryclock.Clock
	random   *rand.Rand

	socket   *hickorysocket.Socket
	received *hickoryring.FrameRing
	outgoing *hickoryring.FrameRing
	services *hickoryring.ServiceRing
	// inspections carries the requests of hickoryctl to the decide duty.
	inspections *hickoryring.InspectionRing
	// draining is set once by Drain; the decide duty reads it.
	draining atomic.Bool
	control  *hickoryrpc.Server
	// exporter is nil when the settings name no metrics endpoint.
	exporter       *hickorymetric.Exporter
	group          *hickoryduty.Group
	platformClient *hickorywatch.Client
	relay          *hickoryrelay.Relay
	// detectorRings join the membership duty, which runs the failure detector, to
	// the others.
	detectorRings membershipRings
	rpcClient     *hickoryrpc.Client

	// packetCount is the number of packets received from the fabric; the decide
	// duty writes it, and Drain reads it.
	packetCount atomic.Uint64
}

// Option changes a balancer at construction.
type Option func(*Balancer)

// WithScope sets the scope of the balancer's metrics.
func WithScope(scope tally.Scope) Option {
	return func(b *Balancer) {
		b.scope = scope
	}
}

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option {
	return func(b *Balancer) {
		b.random = random
	}
}

// WithCarrier sets the function that transports the outgoing packets. hickory-demo
// uses it to delay and lose packets.
func WithCarrier(carrier hickorysocket.Carrier) Option {
	return func(b *Balancer) {
		b.carrier = carrier
	}
}

// New opens the sockets of a balancer and registers its RPC services. Start runs it.
func New(settings hickorysettings.Balancer, logger *hickorylog.Logger, options ...Option) (*Balancer, error) {
	b := &Balancer{
		settings:       settings,
		logger:         logger,
		scope:          tally.NoopScope,
		clock:          hickoryclock.New(),
		received:       hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropNewest),
		outgoing:       hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
		services:       hickoryring.NewServiceRing(),
		inspections:    hickoryring.NewInspectionRing(),
		platformClient: hickorywatch.NewClient(settings.Platform.ConfigurationURL, settings.Platform.InstancesURL),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		detectorRings:  newMembershipRings(),
		rpcClient:      hickoryrpc.NewClient(),
	}
	for _, option := range options {
		option(b)
	}
	endpoint, err := hickorymodel.ParseEndpoint(settings.DataEndpoint)
	if err != nil {
		return nil, err
	}
	if b.socket, err = hickorysocket.Open(endpoint, hickorysocket.WithCarrier(b.carrier)); err != nil {
		return nil, err
	}
	if b.control, err = hickoryrpc.Listen(settings.ControlEndpoint); err != nil {
		return nil, err
	}
	b.relay = hickoryrelay.NewBalancerRelay(hickoryrelay.Parts{
		Identity: hickoryconfig.Identity{Instance: settings.Instance, Zone: settings.Zone, Region: settings.Region},
		Platform: b.platformClient,
		Logger:   logger,
		Scope:    b.scope,
		Clock:    b.clock,
		Random:   rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64())),
		Services: []*hickoryring.ServiceRing{b.services, b.detectorRings.services},
		OnInstanceList: func(list hickoryplatform.Instances) {
			b.detectorRings.balancers.Put(listedBalancers(list))
		},
	})
	if err := b.relay.RegisterBalancer(b.control); err != nil {
		return nil, err
	}
	if err := b.control.Register(memberService, &viewReceiver{views: b.detectorRings.views}); err != nil {
		return nil, err
	}
	return b, b.openMetrics()
}

func (b *Balancer) openMetrics() error {
	if b.settings.MetricsEndpoint == nil {
		return nil
	}
	var err error
	b.exporter, err = hickorymetric.Listen(*b.settings.MetricsEndpoint, b.settings.Instance)
	if err != nil {
		return err
	}
	b.scope = b.exporter.Scope()
	return nil
}

// Start starts the duties, which run until Close.
func (b *Balancer) Start(ctx context.Context) error {
	b.group = hickoryduty.New(string(b.settings.Instance), b.logger)
	drops := hickorymetric.NewDrops(b.scope)
	d := &decider{
		inputs: inputs{
			received:    b.received,
			services:    b.services,
			ejected:     b.detectorRings.ejected,
			inspections: b.inspections,
		},
		settings:              b.settings,
		clock:                 b.clock,
		builder:               hickorytable.NewBuilder(b.clock.Now()),
		drops:                 drops,
		lease:                 b.relay.Lease(),
		handleNewerGeneration: b.relay.HandleNewerGeneration,
		outgoing:              b.outgoing,
		received:              b.socket.Received,
		draining:              b.draining.Load,
		replies:               b.detectorRings.replies,
		packetCount:           &b.packetCount,
	}
	d.init()
	if err := b.control.Register(hickorystatus.Name, hickorystatus.New(b.inspections)); err != nil {
		return err
	}
	sender := &sender{clock: b.clock, lease: b.relay.Lease(), drops: drops, socket: b.socket}
	b.group.Add("receive", func(ctx context.Context) error { return b.socket.Receive(ctx, b.received) })
	b.group.Add("decide", func(ctx context.Context) error { return d.run(ctx) })
	b.group.Add("send", func(ctx context.Context) error { return sender.run(ctx, b.outgoing) })
	b.relay.AddTo(b.group)
	b.group.Add("control", b.control.Serve)
	b.group.Add("ring drops", b.ringDrops().Run)
	if b.exporter != nil {
		b.group.Add("metrics", b.exporter.Serve)
	}
	b.addMembershipDuties()
	b.group.Start(ctx)
	return nil
}

// addMembershipDuties adds the duties that detect dead upstreams and source ports
// whose packets no longer arrive, and the renewal of the source port.
func (b *Balancer) addMembershipDuties() {
	self := hickorymember.Balancer{
		ID:       b.settings.Instance,
		Zone:     b.settings.Zone,
		Region:   b.settings.Region,
		Endpoint: b.ControlEndpoint(),
	}
	membership := &membership{
		clock:    b.clock,
		detector: hickorymember.NewDetector(self, int(time.Now().UnixMilli()), b.random),
		rings:    b.detectorRings,
		logger:   b.logger,
	}
	prober := &prober{
		observer: self.ID,
		socket:   b.socket,
		codec:    hickorygeneve.NewCodec(),
		received: b.received,
		logger:   b.logger,
	}
	viewSender := &viewSender{self: self.ID, client: b.rpcClient}
	b.group.Add("membership", membership.run)
	b.group.Add("probe", func(ctx context.Context) error { return prober.run(ctx, b.detectorRings.probes) })
	b.group.Add("tell", func(ctx context.Context) error { return viewSender.run(ctx, b.detectorRings.viewsToSend) })
	b.group.Add("renew", func(ctx context.Context) error { return b.socket.RenewPeriodically(ctx, b.received) })
}

// ControlEndpoint returns the address of the control socket.
func (b *Balancer) ControlEndpoint() hickoryid.Endpoint {
	return b.control.Endpoint()
}

// Endpoint returns the address of the data socket.
func (b *Balancer) Endpoint() hickorymodel.Endpoint {
	return b.socket.Endpoint()
}

// Close ends the duties, waits for them and closes the sockets. It returns the
// first error.
func (b *Balancer) Close() error {
	err := b.group.Close()
	b.platformClient.Close()
	if b.exporter != nil {
		_ = b.exporter.Close()
	}
	_ = b.rpcClient.Close()
	if closeErr := b.relay.Close(); err == nil {
		err = closeErr
	}
	if closeErr := b.control.Close(); err == nil {
		err = closeErr
	}
	if closeErr := b.socket.Close(); err == nil {
		err = closeErr
	}
	return err
}
