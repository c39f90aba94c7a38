package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// firstHelloInterval is the time between two hellos to an agent from which no frame
	// has arrived since it was listed, for firstHelloTime: after a common start the agent
	// may start some moments after the balancer.
	firstHelloInterval = 3 * SearchTickInterval
	firstHelloTime     = 300 * time.Millisecond
	// unansweredHelloTime is how long an agent that has not been heard may leave hellos
	// unanswered before it gets flows only as a last resort: several hellos, of which one
	// may be lost.
	unansweredHelloTime = 4 * firstHelloInterval
	// greetingTime is how long a balancer holds the packets of callers after its first
	// view at most, while agents answer its first hellos: some round trips in a zone. A
	// first packet to an agent that does not run costs its caller 200 ms. The packets wait
	// in the ring in which they wait for the view.
	greetingTime = 2 * SearchTickInterval
	// greetedShare is the share of the accepting upstreams, of the own zone if it has any,
	// whose agents must have been heard for the balancer to hold no packets. Half of them
	// bear what waits at one balancer of many.
	greetedShare = 0.5
	// unheardLoad is added to the load of an upstream whose agent has not sent a frame
	// yet: one that runs is preferred until each of its slots has a request.
	unheardLoad = 1
)

// greeted reports whether a first hello was sent to the agent, or none is needed.
func (p *peer) greeted() bool {
	return !p.listed || p.helloAt != 0 || p.lastFrameAt != 0
}

// unheard reports whether no frame of the agent has arrived yet.
func (p *peer) unheard() bool {
	return p.lastFrameAt == 0
}

// leavesHellos reports whether an agent that has not been heard leaves hellos unanswered.
func (p *peer) leavesHellos(now hickorymodel.Instant) bool {
	return p.unheard() && p.awaitingAnswerSince != 0 && now.Sub(p.awaitingAnswerSince) >= unansweredHelloTime
}

// awaitsFirstFrame reports whether the agent gets hellos at firstHelloInterval.
func (p *peer) awaitsFirstFrame(now hickorymodel.Instant) bool {
	return p.listed && p.unheard() && now.Sub(p.listedAt) < firstHelloTime
}

// firstHelloDue reports whether the agent, which has not answered a first hello, is to
// get another one.
func (p *peer) firstHelloDue(now hickorymodel.Instant) bool {
	return p.awaitsFirstFrame(now) && p.helloAt != 0 && now.Sub(p.helloAt) >= firstHelloInterval
}

// sendFirstHellos requests a first report from agents, those of the own zone first, at
// most maxHellosPerTick. The others follow with the next ticks, SearchTickInterval apart.
func (b *Balancer) sendFirstHellos(now hickorymodel.Instant) (sent int) {
	b.greeting = false
	for _, local := range [...]bool{true, false} {
		for _, p := range b.peers {
			if (p.upstream.Zone == b.zone) != local {
				continue
			}
			b.greeting = b.greeting || !p.greeted() || p.awaitsFirstFrame(now)
			if p.greeted() || sent == maxHellosPerTick {
				continue
			}
			b.sendHello(now, p)
			sent++
		}
	}
	return sent
}

// Holding reports whether the packets of callers are to wait: for greetingTime after the
// first complete view at most, while too few agents have been heard.
func (b *Balancer) Holding(now hickorymodel.Instant) bool {
	if !b.holding {
		return false
	}
	b.holding = now.Sub(b.firstViewAt) < greetingTime && !b.enoughHeard()
	return b.holding
}

// enoughHeard reports whether agents of greetedShare of the accepting upstreams have been
// heard, of those in the own zone if there are any.
func (b *Balancer) enoughHeard() bool {
	var local, all heardCount
	for _, p := range b.peers {
		if !p.listed || !p.upstream.Accepting {
			continue
		}
		all.add(p)
		if p.upstream.Zone == b.zone {
			local.add(p)
		}
	}
	if local.accepting > 0 {
		return local.enough()
	}
	return all.enough()
}

// heardCount counts accepting upstreams and those whose agents have been heard.
type heardCount struct {
	accepting, heard int
}

func (c *heardCount) add(p *peer) {
	c.accepting++
	if !p.unheard() {
		c.heard++
	}
}

func (c *heardCount) enough() bool {
	return float64(c.heard) >= greetedShare*float64(c.accepting)
}

// AgentHeardFirst reports whether the first frame of an agent has arrived since the last
// call.
func (b *Balancer) AgentHeardFirst() bool {
	heard := b.agentHeardFirst
	b.agentHeardFirst = false
	return heard
}

// HeardAgents returns the number of listed agents and of those that have sent a frame.
func (b *Balancer) HeardAgents() (heard, listed int) {
	for _, p := range b.peers {
		if !p.listed {
			continue
		}
		listed++
		if !p.unheard() {
			heard++
		}
	}
	return heard, listed
}
