package hickoryfabric

import (
	"context"
	"sync/atomic"
	"time"

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

// Agent stands between balancers and one upstream.
type Agent struct {
	settings    hickorysettings.FabricAgent
	translation Translation
	logger      *hickorylog.Logger
	scope       tally.Scope
	clock       *hickoryclock.Clock

	// data is the socket of balancers and callers, upstream the one of the upstream.
	data     *hickorysocket.Socket
	upstream *hickorysocket.Socket
	target   hickorymodel.Endpoint
	ready    *readiness
	// exporter is nil when the settings name no metrics endpoint.
	exporter *hickorymetric.Exporter
	rings    agentRings
	group    *hickoryduty.Group

	// draining is set once by Drain; busy and refusing are written by the decide duty.
	draining atomic.Bool
	refusing atomic.Bool
	busy     atomic.Int64
}

// agentRings join the duties of an agent.
type agentRings struct {
	fromBalancers *hickoryring.FrameRing
	fromUpstream  *hickoryring.FrameRing
	toUpstream    *hickoryring.FrameRing
	// out carries frames to balancers and packets to callers.
	out *hickoryring.FrameRing
}

// NewAgent opens the sockets of an agent. Start runs it.
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
	return a, a.open()
}

func (a *Agent) open() error {
	var err error
	if a.exporter, a.scope, err = openMetrics(a.settings.MetricsEndpoint, a.settings.Instance); err != nil {
		return err
	}
	failures := &socketErrors{recorder: newRecorder(a.scope, a.logger)}
	if a.target, err = hickorymodel.ParseEndpoint(a.settings.UpstreamEndpoint); err != nil {
		return err
	}
	if a.data, err = openSocket(a.settings.DataEndpoint, failures.add); err != nil {
		return err
	}
	if a.upstream, err = openSocket(a.settings.ReturnEndpoint, failures.add); err != nil {
		return err
	}
	if a.ready, err = listenReadiness(a.settings.ReadyEndpoint, a.translation.Readiness(a.Ready)); err != nil {
		return err
	}
	return nil
}

// Ready reports whether the agent takes new flows.
func (a *Agent) Ready() bool {
	return !a.draining.Load()
}

// Start runs the duties until Close.
func (a *Agent) Start(ctx context.Context) error {
	seeds, err := seedEndpoints(a.settings.Seeds)
	if err != nil {
		return err
	}
	d := &agentDecider{
		clock:       a.clock,
		translation: a.translation,
		rings:       a.rings,
		recorder:    newRecorder(a.scope, a.logger),
		target:      a.target,
		port:        a.data.Endpoint().Port,
		draining:    &a.draining,
		refusing:    &a.refusing,
		busy:        &a.busy,
		flows:       a.scope.Gauge("flows"),
		answerTime:  a.scope.Tagged(map[string]string{"service": string(a.settings.Service)}).Histogram("answer_time", hickorymetric.OpeningTimes),
	}
	service := hickorydirectory.HashService(a.settings.Service)
	d.steering = hickorysteering.NewAgent(a.clock.Now(), hickorymodel.NewWallTime(time.Now()), service, uint16(a.settings.AgentPort), seeds, d.recorder.record,
		hickorysteering.WithAnswerTime(d.answerTime.RecordDuration))
	a.group = hickoryduty.New(string(a.settings.Instance), a.logger)
	a.group.Add("receive from balancers", func(ctx context.Context) error { return a.data.ReceiveBatches(ctx, a.rings.fromBalancers) })
	a.group.Add("receive from the upstream", func(ctx context.Context) error { return a.upstream.ReceiveBatches(ctx, a.rings.fromUpstream) })
	a.group.Add("decide", d.run)
	a.group.Add("send", func(ctx context.Context) error { return a.data.SendBatches(ctx, a.rings.out) })
	a.group.Add("deliver", func(ctx context.Context) error { return a.upstream.SendBatches(ctx, a.rings.toUpstream) })
	a.group.Add("readiness", a.ready.serve)
	addMetrics(a.group, a.exporter, a.scope,
		namedRing{"fromBalancers", a.rings.fromBalancers}, namedRing{"fromUpstream", a.rings.fromUpstream}, namedRing{"toUpstream", a.rings.toUpstream}, namedRing{"out", a.rings.out})
	a.group.Start(ctx)
	return nil
}

// Endpoint returns the socket of balancers and callers.
func (a *Agent) Endpoint() hickorymodel.Endpoint {
	return a.data.Endpoint()
}

// ReturnEndpoint returns the socket to which the upstream sends.
func (a *Agent) ReturnEndpoint() hickorymodel.Endpoint {
	return a.upstream.Endpoint()
}

// Close ends the duties, waits for them and closes the sockets.
func (a *Agent) Close() error {
	errs := closeErrors{}
	errs.add(a.group.Close())
	if a.exporter != nil {
		errs.add(a.exporter.Close())
	}
	errs.add(a.ready.Close())
	errs.add(a.data.Close())
	errs.add(a.upstream.Close())
	return errs.first
}
