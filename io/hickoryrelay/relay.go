// Package hickoryrelay runs the duties that keep the configuration of a balancer
// or an agent up to date: the state machine of hickoryconfig, the calls to peers,
// which relay sections to each other, the reads of the configuration service and
// the polls of the instance list.
package hickoryrelay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorywatch"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

const (
	// callDuties is the number of calls to peers that can run at once. A call to a
	// dead peer takes callTimeout.
	callDuties  = 8
	callTimeout = time.Second
	// callCapacity limits the calls that wait for a duty.
	callCapacity = 32
)

// Parts are the dependencies of a Relay.
type Parts struct {
	Identity hickoryconfig.Identity
	Platform *hickorywatch.Client
	Logger   *hickorylog.Logger
	Scope    tally.Scope
	Clock    *hickoryclock.Clock
	Random   *rand.Rand
	// Services receive each set of services that is put in force.
	Services []*hickoryring.ServiceRing
	// OnInstanceList is called with each instance list that was read; it may be nil.
	OnInstanceList func(hickoryplatform.Instances)
}

// Relay keeps the configuration of one process, a balancer or an agent, up to date.
// The duties that AddTo adds are joined by its rings.
type Relay struct {
	parts   Parts
	machine machine
	client  *hickoryrpc.Client
	events  *eventRing
	calls   *actionRing
	reads   *actionRing
	// lease holds the lease that the duties which forward packets check.
	lease *LeaseCell
	// pollState passes the newest state to the duty that polls the instance list.
	pollState chan pollState
	// failureLimiter limits the log lines about failed calls to peers and the platform.
	failureLimiter *rate.Limiter
	meters         []*meterCounters
}

// NewBalancerRelay returns the relay of a balancer, which keeps all sections.
func NewBalancerRelay(parts Parts) *Relay {
	return newRelay(parts, nodeMachine(hickoryconfig.NewNode(parts.Identity, Decode, parts.Random)))
}

// NewAgentRelay returns the relay of an agent, which keeps the section of its service.
func NewAgentRelay(parts Parts, service hickoryid.ServiceName) *Relay {
	return newRelay(parts, followerMachine(hickoryconfig.NewFollower(parts.Identity, service, Decode, parts.Random)))
}

func newRelay(parts Parts, m machine) *Relay {
	r := &Relay{
		parts:          parts,
		machine:        m,
		client:         hickoryrpc.NewClient(),
		events:         newEventRing(),
		calls:          newActionRing(callCapacity),
		reads:          newActionRing(1),
		lease:          &LeaseCell{},
		pollState:      make(chan pollState, 1),
		failureLimiter: rate.NewLimiter(rate.Every(failureLogInterval), failureLogBurst),
	}
	r.meters = append(r.meters, newMeterCounters(parts.Scope, r.client.Meter()))
	return r
}

// Lease returns the cell with the lease for the duties that forward packets.
func (r *Relay) Lease() *LeaseCell {
	return r.lease
}

// HandleNewerGeneration passes a NewerGeneration datagram to the configuration
// duty. It drops the datagram when the event ring is full.
func (r *Relay) HandleNewerGeneration(from hickorymodel.Endpoint, message hickorymessage.NewerGeneration) {
	r.events.offer(event{newerGeneration: &newerGeneration{from: from.ID(), message: message}})
}

// AddTo adds the duties of the relay to a group.
func (r *Relay) AddTo(group *hickoryduty.Group) {
	group.Add("configuration", r.run)
	group.Add("instances", r.pollInstances)
	group.Add("read", r.makeReads)
	for range callDuties {
		group.Add("relay", r.makeCalls)
	}
}

// Close closes the connections to peers. It is called after the duties have ended.
func (r *Relay) Close() error {
	return r.client.Close()
}

// run is the configuration duty: it calls the state machine with each event and
// every hickoryconfig.TickInterval, and carries out the actions that it returns.
func (r *Relay) run(ctx context.Context) error {
	ticker := time.NewTicker(hickoryconfig.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.perform(r.machine.tick(r.parts.Clock.Now()))
			r.sendPollState()
			r.countBytes()
		case e := <-r.events.items:
			r.perform(r.handle(&e))
			if e.peerRequest != nil {
				close(e.peerRequest.answered)
			}
		}
	}
}

// handle passes one event to the state machine.
func (r *Relay) handle(e *event) []hickoryconfig.Action {
	now := r.parts.Clock.Now()
	switch {
	case e.peerRequest != nil:
		return r.machine.answer(now, e.peerRequest)
	case e.newerGeneration != nil:
		return r.machine.handleNewerGeneration(now, e.newerGeneration)
	case e.list != nil:
		return r.machine.setInstances(now, *e.list)
	default:
		return r.machine.handleResult(now, e)
	}
}

// perform carries out the actions of the state machine. It puts services into their
// rings before it stores the lease, so that a duty that reads the lease can already
// receive the services that the lease covers.
func (r *Relay) perform(actions []hickoryconfig.Action) {
	for _, action := range actions {
		switch action.Verb {
		case hickoryconfig.VerbApply:
			for _, ring := range r.parts.Services {
				ring.Put(action.Services)
			}
		case hickoryconfig.VerbLog:
			r.log(action.LogEntry)
		case hickoryconfig.VerbRead:
			r.reads.offer(action)
		default:
			r.calls.offer(action)
		}
	}
	r.lease.Store(r.machine.lease(r.parts.Clock.Now()))
}

// sendPollState passes the current poll state to the duty that polls the instance
// list. It replaces a state that the duty has not received yet.
func (r *Relay) sendPollState() {
	select {
	case <-r.pollState:
	default:
	}
	now := r.parts.Clock.Now()
	r.pollState <- pollState{
		settled:    r.machine.settled(),
		zoneReader: r.machine.readsList(now),
		listNeeded: r.machine.needsList(now),
	}
}
