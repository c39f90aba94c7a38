package hickoryfabric

import (
	"context"
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
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickorysettings"
)

// Agent delivers packets that balancers sent to one upstream and sends the
// upstream's packets straight to the callers.
type Agent struct {
	settings    hickorysettings.FabricAgent
	translation Translation
	logger      *hickorylog.Logger
	scope       tally.Scope
	clock       *hickoryclock.Clock

	// dataSocket exchanges frames with balancers and sends packets to callers;
	// upstreamSocket exchanges packets with the upstream at upstreamEndpoint.
	dataSocket       *hickorysocket.Socket
	upstreamSocket   *hickorysocket.Socket
	upstreamEndpoint hickorymodel.Endpoint
	readyServer      *readinessServer
	// exporter is nil when the settings name no metrics endpoint.
	exporter *hickorymetric.Exporter
	rings    agentRings
	group    *hickoryduty.Group

	// draining is set once by Drain. The decide duty sets refusing once new flows are
	// refused, and updates busyFlows, the number of flows with an unanswered request,
	// and answeredAt, the hickorymodel.Instant at which the upstream last sent data.
	draining   atomic.Bool
	refusing   atomic.Bool
	busyFlows  atomic.Int64
	answeredAt atomic.Int64
}

// agentRings are the bounded queues between the duties of an agent.
type agentRings struct {
	fromBalancers *hickoryring.FrameRing
	fromUpstream  *hickoryring.FrameRing
	toUpstream    *hickoryring.FrameRing
	// out carries frames to balancers and packets to callers.
	out *hickoryring.FrameRing
}

// NewAgent opens the sockets of an agent. Start runs the agent.
func NewAgent(settings hickorysettings.FabricAgent, translation Translation, logger *hickorylog.Logger) (*Agent, error) {
	a := &Agent{
		settings:    settings,
		translation: translation,
		logger:      logger,
		clock:       hickoryclock.New(),
		rings: agentRings{
			fromBalancers: hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropOldest),
			fromUpstream:  hickoryring.NewFrameRing(receiveCapacity, hickoryring.DropOldest),
			toUpstream:    hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
			out:           hickoryring.NewFrameRing(sendCapacity, hickoryring.DropNewest),
		},
	}
	if err := a.open(); err != nil {
		_ = a.Close() // the error of opening is the cause
		return nil, err
	}
	return a, nil
}

func (a *Agent) open() error {
	var err error
	if a.exporter, a.scope, err = openMetrics(a.settings.MetricsEndpoint, a.settings.Instance); err != nil {
		return err
	}
	failures := &socketErrors{recorder: newRecorder(a.scope, a.logger)}
	if a.upstreamEndpoint, err = hickorymodel.ParseEndpoint(a.settings.UpstreamEndpoint); err != nil {
		return err
	}
	if a.dataSocket, err = openSocket(a.settings.DataEndpoint, failures.add); err != nil {
		return err
	}
	if a.upstreamSocket, err = openSocket(a.settings.ReturnEndpoint, failures.add); err != nil {
		return err
	}
	if a.readyServer, err = listenReadiness(a.settings.ReadyEndpoint, a.translation.Readiness(a.Ready)); err != nil {
		return err
	}
	return nil
}

// Ready reports whether the agent accepts new flows.
func (a *Agent) Ready() bool {
	return !a.draining.Load()
}

// Start starts the duties, which run until Close.
func (a *Agent) Start(ctx context.Context) error {
	seeds, err := seedEndpoints(a.settings.Seeds)
	if err != nil {
		return err
	}
	d := &agentDecider{
		clock:            a.clock,
		translation:      a.translation,
		rings:            a.rings,
		recorder:         newRecorder(a.scope, a.logger),
		upstreamEndpoint: a.upstreamEndpoint,
		dataPort:         a.dataSocket.Endpoint().Port,
		draining:         &a.draining,
		refusing:         &a.refusing,
		busyFlows:        &a.busyFlows,
		answeredAt:       &a.answeredAt,
		flows:            a.scope.Gauge("flows"),
		answerTime:       a.scope.Tagged(map[string]string{"service": string(a.settings.Service)}).Histogram("answer_time", hickorymetric.OpeningTimeBuckets),
	}
	d.work = newWorkMetrics(a.scope, a.settings.Service)
	d.lineLength = a.scope.Gauge("line_length")
	lineWait := a.scope.Tagged(map[string]string{"service": string(a.settings.Service)}).Histogram("line_wait", hickorymetric.OpeningTimeBuckets)
	service := hickorydirectory.HashService(a.settings.Service)
	d.steering = hickorysteering.NewAgent(a.clock.Now(), service, uint16(a.settings.AgentPort), seeds, d.recorder.record,
		hickorysteering.WithAnswerTime(d.answerTime.RecordDuration),
		hickorysteering.WithAgentPort(a.dataSocket.Endpoint().Port),
		hickorysteering.WithWaitingLine(a.settings.WaitingLine),
		hickorysteering.WithLineWait(lineWait.RecordDuration),
		hickorysteering.WithWorkModel(a.settings.WorkModel, d.work.addSample))
	a.group = hickoryduty.New(string(a.settings.Instance), a.logger)
	a.group.Add("receive from balancers", func(ctx context.Context) error { return a.dataSocket.ReceiveBatches(ctx, a.rings.fromBalancers) })
	a.group.Add("receive from the upstream", func(ctx context.Context) error { return a.upstreamSocket.ReceiveBatches(ctx, a.rings.fromUpstream) })
	a.group.Add("decide", d.run)
	a.group.Add("send", func(ctx context.Context) error { return a.dataSocket.SendBatches(ctx, a.rings.out) })
	a.group.Add("deliver", func(ctx context.Context) error { return a.upstreamSocket.SendBatches(ctx, a.rings.toUpstream) })
	a.group.Add("readiness", a.readyServer.serve)
	addMetrics(a.group, a.exporter, a.scope,
		namedRing{"fromBalancers", a.rings.fromBalancers}, namedRing{"fromUpstream", a.rings.fromUpstream}, namedRing{"toUpstream", a.rings.toUpstream}, namedRing{"out", a.rings.out})
	a.group.Start(ctx)
	return nil
}

// Endpoint returns the address of the socket for balancers and callers.
func (a *Agent) Endpoint() hickorymodel.Endpoint {
	return a.dataSocket.Endpoint()
}

// ReturnEndpoint returns the address to which the upstream sends packets.
func (a *Agent) ReturnEndpoint() hickorymodel.Endpoint {
	return a.upstreamSocket.Endpoint()
}

// Close ends the duties, waits for them and closes the sockets that are open.
func (a *Agent) Close() error {
	errs := closeErrors{}
	errs.add(a.group.Close())
	if a.exporter != nil {
		errs.add(a.exporter.Close())
	}
	if a.readyServer != nil {
		errs.add(a.readyServer.Close())
	}
	errs.addSockets(a.dataSocket, a.upstreamSocket)
	return errs.first
}
