package hickoryfabric

import (
	"context"
	"math/rand/v2"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickorysettings"
)

const (
	// receiveCapacity is small, since a packet that waits for 200 ms is sent
	// again by its caller: a slow process would work on old packets only.
	receiveCapacity = 256
	// sendCapacity holds the frames of one burst of searches.
	sendCapacity = 1024
)

// Balancer sends the packets of callers to agents.
type Balancer struct {
	settings    hickorysettings.FabricBalancer
	translation Translation
	store       Store
	logger      *hickorylog.Logger
	scope       tally.Scope
	clock       *hickoryclock.Clock
	random      *rand.Rand

	// callers is the socket of the fabric, agents the one of our own frames.
	callers *hickorysocket.Socket
	agents  *hickorysocket.Socket
	control *hickoryrpc.Server
	ready   *readiness
	// exporter is nil when the settings name no metrics endpoint.
	exporter *hickorymetric.Exporter
	calls    *hickoryrpc.Client
	rings    balancerRings
	group    *hickoryduty.Group

	// draining is set once by Drain; packets and serving are written by the
	// decide duty.
	draining atomic.Bool
	packets  atomic.Uint64
	serving  atomic.Bool
}

// balancerRings join the duties of a balancer.
type balancerRings struct {
	fromCallers *hickoryring.FrameRing
	fromAgents  *hickoryring.FrameRing
	toCallers   *hickoryring.FrameRing
	toAgents    *hickoryring.FrameRing
	views       *hickoryring.DirectoryRing
	answers     *hickoryring.StoreRing
	states      *hickoryring.StateRing
	asks        *hickoryring.AskRing
	// wakes asks the follower of the store for confirmation.
	wakes *hickoryring.WakeRing
}

// BalancerOption changes a balancer at construction.
type BalancerOption func(*Balancer)

// WithBalancerRandom sets the source of random numbers.
func WithBalancerRandom(random *rand.Rand) BalancerOption {
	return func(b *Balancer) {
		b.random = random
	}
}

// NewBalancer opens the sockets of a balancer. Start runs it.
func NewBalancer(settings hickorysettings.FabricBalancer, translation Translation, store Store, logger *hickorylog.Logger, options ...BalancerOption) (*Balancer, error) {
	b := &Balancer{
		settings:    settings,
		translation: translation,
		store:       store,
		logger:      logger,
		scope:       tally.NoopScope,
		clock:       hickoryclock.New(),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		calls:       hickoryrpc.NewClient(),
		rings: balancerRings{
			fromCallers: hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropOldest),
			fromAgents:  hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropOldest),
			toCallers:   hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
			toAgents:    hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
			views:       hickoryring.NewDirectoryRing(),
			answers:     hickoryring.NewStoreRing(),
			states:      hickoryring.NewStateRing(),
			asks:        hickoryring.NewAskRing(),
			wakes:       hickoryring.NewWakeRing(),
		},
	}
	for _, option := range options {
		option(b)
	}
	return b, b.open()
}

func (b *Balancer) open() error {
	var err error
	if b.exporter, b.scope, err = openMetrics(b.settings.MetricsEndpoint, b.settings.Instance); err != nil {
		return err
	}
	failures := &socketErrors{recorder: newRecorder(b.scope, b.logger)}
	if b.callers, err = openSocket(b.settings.DataEndpoint, failures.add); err != nil {
		return err
	}
	if b.agents, err = openSocket(b.settings.AgentEndpoint, failures.add); err != nil {
		return err
	}
	if b.control, err = hickoryrpc.Listen(b.settings.ControlEndpoint); err != nil {
		return err
	}
	if err = b.control.Register(stateService, &stateReceiver{states: b.rings.states}); err != nil {
		return err
	}
	if b.ready, err = listenReadiness(b.settings.ReadyEndpoint, b.translation.Readiness(b.Ready)); err != nil {
		return err
	}
	return nil
}

// Ready reports whether the fabric should send packets.
func (b *Balancer) Ready() bool {
	return b.serving.Load() && !b.draining.Load()
}

// Start runs the duties until Close.
func (b *Balancer) Start(ctx context.Context) error {
	b.group = hickoryduty.New(string(b.settings.Instance), b.logger)
	follower := newFollower(b.store, rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64())), b.rings.answers, b.rings.wakes, b.clock, b.scope)
	decider := b.newDecider(follower.confirmed)
	keeper := b.newKeeper(follower.noteApplied)
	asker := &asker{client: b.calls, asks: b.rings.asks, states: b.rings.states, logger: b.logger}
	b.group.Add("receive from callers", func(ctx context.Context) error { return b.callers.ReceiveBatches(ctx, b.rings.fromCallers) })
	b.group.Add("receive from agents", func(ctx context.Context) error { return b.agents.ReceiveBatches(ctx, b.rings.fromAgents) })
	b.group.Add("decide", decider.run)
	b.group.Add("send to agents", func(ctx context.Context) error { return b.agents.SendBatches(ctx, b.rings.toAgents) })
	b.group.Add("send to callers", func(ctx context.Context) error { return b.callers.SendBatches(ctx, b.rings.toCallers) })
	b.group.Add("follow the store", follower.run)
	b.group.Add("keep the directory", keeper.run)
	b.group.Add("ask balancers", asker.run)
	b.group.Add("control", b.control.Serve)
	b.group.Add("readiness", b.ready.serve)
	addMetrics(b.group, b.exporter, b.scope,
		namedRing{"fromCallers", b.rings.fromCallers}, namedRing{"fromAgents", b.rings.fromAgents}, namedRing{"toAgents", b.rings.toAgents}, namedRing{"toCallers", b.rings.toCallers})
	b.group.Start(ctx)
	return nil
}

func (b *Balancer) newDecider(confirmed func(hickorymodel.Instant) hickorymodel.Instant) *balancerDecider {
	d := &balancerDecider{
		clock:       b.clock,
		translation: b.translation,
		rings:       b.rings,
		recorder:    newRecorder(b.scope, b.logger),
		logger:      b.logger,
		draining:    &b.draining,
		packets:     &b.packets,
		serving:     &b.serving,
		flows:       b.scope.Gauge("flows"),
		port:        b.callers.Endpoint().Port,
	}
	random := rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))
	d.steering = hickorysteering.NewBalancer(b.settings.Zone, b.callers.Endpoint().Port, random, d.recorder.record, confirmed)
	return d
}

func (b *Balancer) newKeeper(noteApplied func(hickorymodel.Instant)) *keeper {
	random := rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))
	return &keeper{
		clock:     b.clock,
		logger:    b.logger,
		self:      b.control.Endpoint(),
		directory: hickorydirectory.New(),
		peers:     hickorydirectory.NewPeers(b.control.Endpoint(), b.settings.Seeds, random),
		answers:   b.rings.answers,
		states:    b.rings.states,
		asks:      b.rings.asks,
		views:     b.rings.views,

		noteApplied: noteApplied,
	}
}

// Endpoint returns the socket of the fabric.
func (b *Balancer) Endpoint() hickorymodel.Endpoint {
	return b.callers.Endpoint()
}

// AgentEndpoint returns the socket of frames.
func (b *Balancer) AgentEndpoint() hickorymodel.Endpoint {
	return b.agents.Endpoint()
}

// Close ends the duties, waits for them and closes the sockets.
func (b *Balancer) Close() error {
	errs := closeErrors{}
	errs.add(b.group.Close())
	errs.add(b.store.Close())
	errs.add(b.calls.Close())
	if b.exporter != nil {
		errs.add(b.exporter.Close())
	}
	errs.add(b.control.Close())
	errs.add(b.ready.Close())
	errs.add(b.callers.Close())
	errs.add(b.agents.Close())
	return errs.first
}
