package hickoryfabric

import (
	"context"
	"fmt"
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
	// receiveCapacity is small, since a caller sends a packet again that has waited
	// for 200 ms: with a long queue, a slow process would only handle old packets.
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

	// callerSocket receives the callers' packets from the fabric and sends resets to
	// callers; agentSocket exchanges frames with agents.
	callerSocket  *hickorysocket.Socket
	agentSocket   *hickorysocket.Socket
	controlServer *hickoryrpc.Server
	readyServer   *readinessServer
	// exporter is nil when the settings name no metrics endpoint.
	exporter *hickorymetric.Exporter
	// peerClient calls other balancers.
	peerClient *hickoryrpc.Client
	rings      balancerRings
	group      *hickoryduty.Group

	// draining is set once by Drain. The decide duty writes callerPackets, the number
	// of packets handled from callers, and serving, which is true while the state is
	// complete and the balancer is not isolated.
	draining      atomic.Bool
	callerPackets atomic.Uint64
	serving       atomic.Bool
}

// balancerRings are the bounded queues between the duties of a balancer.
type balancerRings struct {
	fromCallers   *hickoryring.FrameRing
	fromAgents    *hickoryring.FrameRing
	toCallers     *hickoryring.FrameRing
	toAgents      *hickoryring.FrameRing
	views         *hickoryring.DirectoryRing
	storeAnswers  *hickoryring.StoreRing
	stateCalls    *hickoryring.StateRing
	stateRequests *hickoryring.StateFetchRing
	// confirmRequests signals to the storeFollower that the decide duty needs
	// confirmation that it has all published changes.
	confirmRequests *hickoryring.WakeRing
	changesCalls    *hickoryring.ChangesRing
	changesFetches  *hickoryring.ChangesFetchRing
	tableCalls      *hickoryring.TableRing
	tableFetches    *hickoryring.TableFetchRing
	choiceCalls     *hickoryring.ChoiceRing
}

// BalancerOption changes a balancer at construction.
type BalancerOption func(*Balancer)

// WithBalancerRandom sets the source of random numbers.
func WithBalancerRandom(random *rand.Rand) BalancerOption {
	return func(b *Balancer) {
		b.random = random
	}
}

// NewBalancer opens the sockets of a balancer. Start runs the balancer.
func NewBalancer(settings hickorysettings.FabricBalancer, translation Translation, store Store, logger *hickorylog.Logger, options ...BalancerOption) (*Balancer, error) {
	b := &Balancer{
		settings:    settings,
		translation: translation,
		store:       store,
		logger:      logger,
		scope:       tally.NoopScope,
		clock:       hickoryclock.New(),
		random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		peerClient:  hickoryrpc.NewClient(hickoryrpc.WithoutCompression()),
		rings: balancerRings{
			fromCallers:     hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropOldest),
			fromAgents:      hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropOldest),
			toCallers:       hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
			toAgents:        hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
			views:           hickoryring.NewDirectoryRing(),
			storeAnswers:    hickoryring.NewStoreRing(),
			stateCalls:      hickoryring.NewStateRing(),
			stateRequests:   hickoryring.NewStateFetchRing(),
			confirmRequests: hickoryring.NewWakeRing(),
			changesCalls:    hickoryring.NewChangesRing(),
			changesFetches:  hickoryring.NewChangesFetchRing(),
			tableCalls:      hickoryring.NewTableRing(),
			tableFetches:    hickoryring.NewTableFetchRing(),
			choiceCalls:     hickoryring.NewChoiceRing(),
		},
	}
	for _, option := range options {
		option(b)
	}
	if err := b.open(); err != nil {
		_ = b.Close() // the error of opening is the cause
		return nil, err
	}
	return b, nil
}

func (b *Balancer) open() error {
	var err error
	if b.exporter, b.scope, err = openMetrics(b.settings.MetricsEndpoint, b.settings.Instance); err != nil {
		return err
	}
	failures := &socketErrors{recorder: newRecorder(b.scope, b.logger)}
	if b.callerSocket, err = openSocket(b.settings.DataEndpoint, failures.add); err != nil {
		return err
	}
	if b.agentSocket, err = openSocket(b.settings.AgentEndpoint, failures.add); err != nil {
		return err
	}
	if b.controlServer, err = hickoryrpc.Listen(b.settings.ControlEndpoint); err != nil {
		return err
	}
	if err = b.controlServer.Register(stateService, &stateReceiver{stateCalls: b.rings.stateCalls, changesCalls: b.rings.changesCalls, tableCalls: b.rings.tableCalls}); err != nil {
		return err
	}
	if err = b.controlServer.Register(choiceService, &choiceReceiver{choiceCalls: b.rings.choiceCalls}); err != nil {
		return err
	}
	if b.readyServer, err = listenReadiness(b.settings.ReadyEndpoint, b.translation.Readiness(b.Ready)); err != nil {
		return err
	}
	return nil
}

// Ready reports whether the fabric should send packets to the balancer.
func (b *Balancer) Ready() bool {
	return b.serving.Load() && !b.draining.Load()
}

// Start starts the duties, which run until Close.
func (b *Balancer) Start(ctx context.Context) error {
	b.group = hickoryduty.New(string(b.settings.Instance), b.logger)
	followers := b.newStoreFollowers()
	decider := b.newDecider()
	updater := b.newDirectoryUpdater(followers)
	stateFetcher := &stateFetcher{client: b.peerClient, stateRequests: b.rings.stateRequests, stateCalls: b.rings.stateCalls, completed: updater.completed, failures: b.peerFailures("state")}
	changesFetcher := &changesFetcher{client: b.peerClient, changesFetches: b.rings.changesFetches, changesCalls: b.rings.changesCalls, failures: b.peerFailures("changes")}
	tableFetcher := &tableFetcher{client: b.peerClient, tableFetches: b.rings.tableFetches, tableCalls: b.rings.tableCalls, failures: b.peerFailures("table")}
	b.group.Add("receive from callers", func(ctx context.Context) error { return b.callerSocket.ReceiveBatches(ctx, b.rings.fromCallers) })
	b.group.Add("receive from agents", func(ctx context.Context) error { return b.agentSocket.ReceiveBatches(ctx, b.rings.fromAgents) })
	b.group.Add("decide", decider.run)
	b.group.Add("send to agents", func(ctx context.Context) error { return b.agentSocket.SendBatches(ctx, b.rings.toAgents) })
	b.group.Add("send to callers", func(ctx context.Context) error { return b.callerSocket.SendBatches(ctx, b.rings.toCallers) })
	for _, follower := range followers {
		b.group.Add("follow the store: "+follower.scope.String(), follower.run)
	}
	b.group.Add("keep the directory", updater.run)
	b.group.Add("ask balancers", stateFetcher.run)
	for i := 1; i < stateFetchers; i++ {
		b.group.Add(fmt.Sprintf("ask balancers for a first state %d", i), stateFetcher.runUntilComplete)
	}
	b.group.Add("follow a balancer", changesFetcher.run)
	b.group.Add("fetch the configuration", tableFetcher.run)
	b.group.Add("control", b.controlServer.Serve)
	b.group.Add("readiness", b.readyServer.serve)
	addMetrics(b.group, b.exporter, b.scope,
		namedRing{"fromCallers", b.rings.fromCallers}, namedRing{"fromAgents", b.rings.fromAgents}, namedRing{"toAgents", b.rings.toAgents}, namedRing{"toCallers", b.rings.toCallers})
	b.group.Start(ctx)
	return nil
}

// peerFailures returns what records the failed calls of a method of other balancers.
func (b *Balancer) peerFailures(method string) peerFailures {
	failed := b.scope.Tagged(map[string]string{"method": method}).Counter("peer_calls_failed")
	return peerFailures{method: method, clock: b.clock, logger: b.logger, failed: failed}
}

func (b *Balancer) newDecider() *balancerDecider {
	d := &balancerDecider{
		clock:         b.clock,
		translation:   b.translation,
		rings:         b.rings,
		recorder:      newRecorder(b.scope, b.logger),
		logger:        b.logger,
		draining:      &b.draining,
		callerPackets: &b.callerPackets,
		serving:       &b.serving,
		flows:         b.scope.Gauge("flows"),
		viewWait:      b.scope.Histogram("view_wait", hickorymetric.OpeningTimeBuckets),
		speeds:        newSpeedGauges(b.scope),
		dataPort:      b.callerSocket.Endpoint().Port,
	}
	random := rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))
	d.steering = hickorysteering.NewBalancer(b.settings.Zone, b.callerSocket.Endpoint().Port, random, d.recorder.record,
		hickorysteering.WithLink(b.settings.LinkMbps), hickorysteering.WithWorkRouting(b.settings.WorkRouting))
	return d
}

// newStoreFollowers returns a follower for each part of the published state.
func (b *Balancer) newStoreFollowers() []*storeFollower {
	followers := []*storeFollower{}
	for _, part := range []hickorydirectory.Scope{hickorydirectory.ScopeUpstreams, hickorydirectory.ScopeZones, hickorydirectory.ScopeTable} {
		random := rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))
		followers = append(followers, newStoreFollower(b.store, part, random, b.rings, b.clock, b.scope, b.logger))
	}
	return followers
}

func (b *Balancer) newDirectoryUpdater(followers []*storeFollower) *directoryUpdater {
	random := rand.New(rand.NewPCG(b.random.Uint64(), b.random.Uint64()))
	self := b.controlServer.Endpoint()
	directory := hickorydirectory.New()
	peers := hickorydirectory.NewPeers(self, b.settings.Zone, b.settings.Seeds, random)
	source := hickorydirectory.NewSource(b.clock.Now(), self, b.settings.Zone, peers)
	return &directoryUpdater{
		clock:          b.clock,
		logger:         b.logger,
		self:           self,
		zone:           b.settings.Zone,
		directory:      directory,
		peers:          peers,
		source:         source,
		waiters:        changesWaiters{directory: directory, source: source},
		draining:       &b.draining,
		storeAnswers:   b.rings.storeAnswers,
		stateCalls:     b.rings.stateCalls,
		stateRequests:  b.rings.stateRequests,
		views:          b.rings.views,
		changesCalls:   b.rings.changesCalls,
		changesFetches: b.rings.changesFetches,
		tableCalls:     b.rings.tableCalls,
		tableFetches:   b.rings.tableFetches,
		setReading: func(reading bool, known hickorydirectory.Position) {
			for _, follower := range followers {
				follower.setReading(reading, known)
			}
		},
		viewAge:        b.scope.Gauge("view_age"),
		rejectedValues: map[hickorydirectory.RejectedValue]bool{},
		completed:      make(chan struct{}),
	}
}

// Endpoint returns the address of the socket for callers' packets.
func (b *Balancer) Endpoint() hickorymodel.Endpoint {
	return b.callerSocket.Endpoint()
}

// AgentEndpoint returns the address of the socket for frames of agents.
func (b *Balancer) AgentEndpoint() hickorymodel.Endpoint {
	return b.agentSocket.Endpoint()
}

// Close ends the duties, waits for them and closes the sockets that are open.
func (b *Balancer) Close() error {
	errs := closeErrors{}
	errs.add(b.group.Close())
	errs.add(b.store.Close())
	errs.add(b.peerClient.Close())
	if b.exporter != nil {
		errs.add(b.exporter.Close())
	}
	if b.controlServer != nil {
		errs.add(b.controlServer.Close())
	}
	if b.readyServer != nil {
		errs.add(b.readyServer.Close())
	}
	errs.addSockets(b.callerSocket, b.agentSocket)
	return errs.first
}
