// Package hickoryagent is the agent that runs on the host of one upstream. Its
// duties receive packets, decide what happens to each flow, send to other
// processes, deliver to the upstream, follow the configuration and answer
// control calls.
//
// In a planned restart, a new agent process (the successor) replaces the running
// one (the predecessor) without breaking flows. The successor fetches the flow
// table by RPC. Afterwards the predecessor relays every received datagram to the
// successor until it is stopped.
package hickoryagent

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryrelay"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/io/hickorystatus"
	"hickoryworks/io/hickorywatch"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorysettings"
)

// Capacities of the packet rings, in packets. Each holds about 100 ms of packets
// at 10,000 packets a second.
const (
	receiveCapacity = 1024
	sendCapacity    = 1024
	deliverCapacity = 1024
)

// Agent owns the flows of one upstream and runs the duties that handle them.
type Agent struct {
	settings hickorysettings.Agent
	logger   *hickorylog.Logger
	scope    tally.Scope
	carrier  hickorysocket.Carrier
	clock    *hickoryclock.Clock
	random   *rand.Rand

	// socket is the data socket; delivery is the socket that sends to the upstream.
	socket   *hickorysocket.Socket
	delivery *hickorysocket.Socket
	// received and outgoing carry the frames that socket receives and sends.
	received *hickoryring.FrameRing
	outgoing *hickoryring.FrameRing
	// delivered carries the frames that delivery sends.
	delivered *hickoryring.FrameRing
	// services carries the accepted services to the decide duty.
	services *hickoryring.ServiceRing
	// requests and limits carry callers' datagrams and the service's limits from
	// the decide duty to the exchange duty; answered carries the flows of answered
	// requests back.
	requests *hickoryring.RequestRing
	limits   *hickoryring.LimitRing
	answered *hickoryring.AnsweredRing
	// shares carries the share of its capacity that the upstream reports on its
	// health and load endpoints.
	shares *hickoryring.ShareRing
	// inspections carries the requests of hickoryctl.
	inspections *hickoryring.InspectionRing
	// transfers carries the calls of a successor.
	transfers *hickoryring.TransferRing
	// imports carries the parts of the flow table of a predecessor.
	imports   *hickoryring.ImportRing
	rpcClient *hickoryrpc.Client
	control   *hickoryrpc.Server
	// exporter is nil when the settings name no metrics endpoint.
	exporter       *hickorymetric.Exporter
	group          *hickoryduty.Group
	platformClient *hickorywatch.Client
	// relay runs the configuration duties, which pass the service to the decide
	// duty. It has no part in the relaying of a planned restart.
	relay *hickoryrelay.Relay

	// draining is set by Drain, never reset, and read by the decide duty.
	draining atomic.Bool
	// refusing is set by the decide duty once it refuses new flows, and never
	// reset.
	refusing atomic.Bool
	// flows is the number of open flows; the decide duty writes it.
	flows    atomic.Int64
	handover handover
}

// Option configures an Agent in New.
type Option func(*Agent)

// WithScope sets the scope of the agent's metrics.
func WithScope(scope tally.Scope) Option {
	return func(a *Agent) {
		a.scope = scope
	}
}

// WithRandom sets the source of random numbers.
func WithRandom(random *rand.Rand) Option {
	return func(a *Agent) {
		a.random = random
	}
}

// WithCarrier sets the function through which the agent's sockets send.
func WithCarrier(carrier hickorysocket.Carrier) Option {
	return func(a *Agent) {
		a.carrier = carrier
	}
}

// New opens the sockets of an agent. Start starts its duties.
func New(settings hickorysettings.Agent, logger *hickorylog.Logger, options ...Option) (*Agent, error) {
	a := &Agent{
		settings:       settings,
		logger:         logger,
		scope:          tally.NoopScope,
		clock:          hickoryclock.New(),
		random:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		received:       hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropNewest),
		outgoing:       hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
		delivered:      hickoryring.NewFrameRing(deliverCapacity, hickoryring.DropNewest),
		services:       hickoryring.NewServiceRing(),
		requests:       hickoryring.NewRequestRing(deliverCapacity),
		limits:         hickoryring.NewLimitRing(),
		answered:       hickoryring.NewAnsweredRing(deliverCapacity),
		shares:         hickoryring.NewShareRing(),
		inspections:    hickoryring.NewInspectionRing(),
		platformClient: hickorywatch.NewClient(settings.Platform.ConfigurationURL, settings.Platform.InstancesURL),
		transfers:      hickoryring.NewTransferRing(transferCapacity),
		imports:        hickoryring.NewImportRing(importCapacity),
		rpcClient:      hickoryrpc.NewClient(),
	}
	for _, option := range options {
		option(a)
	}
	if err := a.openSockets(); err != nil {
		return nil, err
	}
	a.relay = hickoryrelay.NewAgentRelay(hickoryrelay.Parts{
		Identity: hickoryconfig.Identity{Instance: settings.Instance, Zone: settings.Zone, Region: settings.Region},
		Platform: a.platformClient,
		Logger:   logger,
		Scope:    a.scope,
		Clock:    a.clock,
		Random:   rand.New(rand.NewPCG(a.random.Uint64(), a.random.Uint64())),
		Services: []*hickoryring.ServiceRing{a.services},
	}, settings.Service)
	return a, a.relay.RegisterAgent(a.control)
}

func (a *Agent) openSockets() error {
	endpoint, err := hickorymodel.ParseEndpoint(a.settings.DataEndpoint)
	if err != nil {
		return err
	}
	a.socket, err = hickorysocket.Open(endpoint, hickorysocket.WithCarrier(a.carrier))
	if err != nil {
		return err
	}
	a.delivery, err = hickorysocket.Open(hickorymodel.Endpoint{Address: endpoint.Address}, hickorysocket.WithCarrier(a.carrier))
	if err != nil {
		return err
	}
	if a.control, err = hickoryrpc.Listen(a.settings.ControlEndpoint); err != nil {
		return err
	}
	if err := a.control.Register(transferService, &transferReceiver{calls: a.transfers}); err != nil {
		return err
	}
	return a.openMetrics()
}

func (a *Agent) openMetrics() error {
	if a.settings.MetricsEndpoint == nil {
		return nil
	}
	var err error
	a.exporter, err = hickorymetric.Listen(*a.settings.MetricsEndpoint, a.settings.Instance)
	if err != nil {
		return err
	}
	a.scope = a.exporter.Scope()
	return nil
}

// Start starts the duties, which run until Close.
func (a *Agent) Start(ctx context.Context) error {
	upstream, err := hickorymodel.ParseEndpoint(a.settings.DeliveryEndpoint)
	if err != nil {
		return err
	}
	d := a.newDecider(upstream)
	if err := a.control.Register(hickorystatus.Name, hickorystatus.New(a.inspections)); err != nil {
		return err
	}
	rings := deciderRings{
		received:    a.received,
		transfers:   a.transfers,
		imports:     a.imports,
		answered:    a.answered,
		shares:      a.shares,
		inspections: a.inspections,
	}
	a.group = hickoryduty.New(string(a.settings.Instance), a.logger)
	a.group.Add("receive", func(ctx context.Context) error { return a.socket.Receive(ctx, a.received) })
	a.group.Add("decide", func(ctx context.Context) error { return d.run(ctx, rings) })
	a.group.Add("send", func(ctx context.Context) error { return a.socket.SendAll(ctx, a.outgoing) })
	a.group.Add("deliver", func(ctx context.Context) error { return a.delivery.SendAll(ctx, a.delivered) })
	if err := a.addExchange(upstream, d.drops); err != nil {
		return err
	}
	if err := a.addEndpoints(); err != nil {
		return err
	}
	a.relay.AddTo(a.group)
	a.group.Add("control", a.control.Serve)
	a.group.Add("ring drops", a.ringDrops().Run)
	if a.exporter != nil {
		a.group.Add("metrics", a.exporter.Serve)
	}
	if a.settings.PredecessorEndpoint != nil {
		a.group.Add("take over", a.newTakeover(d.serviceApplied).run)
	}
	a.group.Start(ctx)
	return nil
}

func (a *Agent) newTakeover(serviceApplied <-chan struct{}) *takeover {
	return &takeover{
		client:         a.rpcClient,
		predecessor:    *a.settings.PredecessorEndpoint,
		instance:       a.settings.Instance,
		ownEndpoint:    a.socket.Endpoint(),
		serviceApplied: serviceApplied,
		imports:        a.imports,
		logger:         a.logger,
	}
}

func (a *Agent) newDecider(upstream hickorymodel.Endpoint) *decider {
	d := &decider{
		settings:          a.settings,
		clock:             a.clock,
		random:            a.random,
		logger:            a.logger,
		upstream:          upstream,
		ownEndpoint:       a.socket.Endpoint(),
		builder:           hickorytable.NewBuilder(a.clock.Now()),
		drops:             hickorymetric.NewDrops(a.scope),
		outgoing:          a.outgoing,
		delivered:         a.delivered,
		draining:          &a.draining,
		refusing:          &a.refusing,
		flows:             &a.flows,
		handover:          &a.handover,
		limits:            a.limits,
		datagramsReceived: a.socket.Received,
		scope:             a.scope,
		importing:         a.settings.PredecessorEndpoint != nil,
	}
	d.lease = a.relay.Lease()
	d.services = a.services
	if a.settings.Delivery == hickorysettings.DeliveryDatagram {
		d.requests = a.requests
	}
	d.init()
	return d
}

// ControlEndpoint returns the address of the control socket.
func (a *Agent) ControlEndpoint() hickoryid.Endpoint {
	return a.control.Endpoint()
}

// Endpoint returns the address of the data socket.
func (a *Agent) Endpoint() hickorymodel.Endpoint {
	return a.socket.Endpoint()
}

// Close ends the duties, waits for them and closes the sockets.
func (a *Agent) Close() error {
	err := a.group.Close()
	a.platformClient.Close()
	if a.exporter != nil {
		_ = a.exporter.Close()
	}
	_ = a.rpcClient.Close()
	if closeErr := a.relay.Close(); err == nil {
		err = closeErr
	}
	if closeErr := a.control.Close(); err == nil {
		err = closeErr
	}
	for _, socket := range []*hickorysocket.Socket{a.socket, a.delivery} {
		if closeErr := socket.Close(); err == nil {
			err = closeErr
		}
	}
	return err
}
