// Package hickoryrelay runs the duties that keep the configuration of a balancer
// or an agent: the state machine, the calls of peers, the reads of the
// configuration service and the polls of the instance list.
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
	// callDuties is the number of calls of peers that can run at once. A dead
	// peer holds one for callTimeout.
	callDuties  = 8
	callTimeout = time.Second
	// callCapacity bounds the calls that wait for a duty.
	callCapacity = 32
)

// Parts are what a relay is made of.
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

// Relay keeps the configuration of one process.
type Relay struct {
	parts   Parts
	machine machine
	client  *hickoryrpc.Client
	events  *eventRing
	calls   *actionRing
	reads   *actionRing
	// lease is read by the duties that forward packets.
	lease *LeaseCell
	// pace tells the instances duty how often to read.
	pace chan pace
	// failures limits the log lines about peers and the platform.
	failures *rate.Limiter
	meters   []*meterCounters
}

// NewBalancerRelay returns the relay of a balancer, which holds all sections.
func NewBalancerRelay(parts Parts) *Relay {
	return newRelay(parts, nodeMachine(hickoryconfig.NewNode(parts.Identity, Decode, parts.Random)))
}

// NewAgentRelay returns the relay of an agent, which holds the section of its service.
func NewAgentRelay(parts Parts, service hickoryid.ServiceName) *Relay {
	return newRelay(parts, followerMachine(hickoryconfig.NewFollower(parts.Identity, service, Decode, parts.Random)))
}

func newRelay(parts Parts, m machine) *Relay {
	r := &Relay{
		parts:    parts,
		machine:  m,
		client:   hickoryrpc.NewClient(),
		events:   newEventRing(),
		calls:    newActionRing(callCapacity),
		reads:    newActionRing(1),
		lease:    &LeaseCell{},
		pace:     make(chan pace, 1),
		failures: rate.NewLimiter(rate.Every(failureLogInterval), failureLogBurst),
	}
	r.meters = append(r.meters, newMeterCounters(parts.Scope, r.client.Meter()))
	return r
}

// Lease returns the lease for the duties that forward packets.
func (r *Relay) Lease() *LeaseCell {
	return r.lease
}

// HandleNewerGeneration passes a NewerGeneration datagram on.
func (r *Relay) HandleNewerGeneration(from hickorymodel.Endpoint, message hickorymessage.NewerGeneration) {
	r.events.offer(event{notice: &notice{from: from.ID(), message: message}})
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

// Close ends the connections to peers, after the duties have ended.
func (r *Relay) Close() error {
	return r.client.Close()
}

// run drives the state machine.
func (r *Relay) run(ctx context.Context) error {
	ticker := time.NewTicker(hickoryconfig.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			r.perform(r.machine.tick(r.parts.Clock.Now()))
			r.tellPace()
			r.countBytes()
		case e := <-r.events.items:
			r.perform(r.handle(&e))
			if e.question != nil {
				close(e.question.answered)
			}
		}
	}
}

func (r *Relay) handle(e *event) []hickoryconfig.Action {
	now := r.parts.Clock.Now()
	switch {
	case e.question != nil:
		return r.machine.answer(now, e.question)
	case e.notice != nil:
		return r.machine.takeNotice(now, e.notice)
	case e.list != nil:
		return r.machine.setInstances(now, *e.list)
	default:
		return r.machine.takeResult(now, e)
	}
}

// perform does what the machine asks for. Services are in their ring before the
// lease that depends on them can be seen.
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

// tellPace replaces what the instances duty has not read yet.
func (r *Relay) tellPace() {
	select {
	case <-r.pace:
	default:
	}
	now := r.parts.Clock.Now()
	r.pace <- pace{
		settled: r.machine.settled(),
		reader:  r.machine.readsList(now),
		needed:  r.machine.needsList(now),
	}
}
