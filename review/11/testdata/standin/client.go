package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	openTimeout     = 1400 * time.Millisecond
	requestDeadline = 2 * time.Second
)

// outcome is how an attempt of a client ended.
type outcome string

const (
	outcomeServed     outcome = "served"
	outcomeNotOpened  outcome = "not opened"
	outcomeRefused    outcome = "refused before it was open"
	outcomeReset      outcome = "reset while open"
	outcomeShed       outcome = "not executed"
	outcomeUnanswered outcome = "open, not answered"
)

// client is a stand-in for the clients behind one address in a zone.
type client struct {
	world *world
	zone  string
	conn  *net.UDPConn

	mutex    sync.Mutex
	inboxes  map[uint16]chan packet
	lastPort uint16
}

func (c *client) address() netip.Addr {
	return c.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr()
}

func (c *client) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, genuine, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		ownReset := p.flags&flagRST != 0 && len(p.data) == 0
		if !genuine && !ownReset {
			c.world.breaks("MIXED", "a client got a packet that its sender did not write so")
			continue
		}
		c.mutex.Lock()
		inbox := c.inboxes[p.destination.Port()]
		c.mutex.Unlock()
		select {
		case inbox <- p:
		default:
		}
	}
}

// attempt is one request on a flow of its own.
type attempt struct {
	client *client
	began  time.Time
	id     string
	key    flowKey
	inbox  chan packet
	seq    uint32
	ack    uint32
}

// request sends one request on a new flow and returns its outcome.
func (c *client) request(route netip.AddrPort, service string) outcome {
	c.mutex.Lock()
	c.lastPort++
	port := 20000 + c.lastPort%40000
	inbox := make(chan packet, 64)
	c.inboxes[port] = inbox
	c.mutex.Unlock()
	a := &attempt{client: c, began: time.Now(), key: flowKey{client: netip.AddrPortFrom(c.address(), port), route: route}, inbox: inbox, seq: rand.Uint32()}
	a.id = fmt.Sprintf("%s-%d-%08x", c.zone, port, rand.Uint32())
	c.world.recordAttempt(a)
	result := a.open()
	if result == "" {
		result = a.send(service)
	}
	c.mutex.Lock()
	delete(c.inboxes, port)
	c.mutex.Unlock()
	c.world.recordOutcome(a, result)
	return result
}

// open opens the flow. It returns "" if that succeeds.
func (a *attempt) open() outcome {
	began := time.Now()
	for copies, until := range []time.Duration{resendTime, 3 * resendTime, openTimeout} {
		a.write(flagSYN, uint32(copies), nil)
		p, ok := a.next(until - time.Since(began))
		if !ok {
			continue
		}
		if p.flags&flagRST != 0 {
			return outcomeRefused
		}
		a.seq++
		a.ack = p.seq + 1
		return ""
	}
	return outcomeNotOpened
}

// send sends the request, with retransmissions, and waits for the answer.
func (a *attempt) send(service string) outcome {
	data := []byte(fmt.Sprintf("POST /order HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", a.key.route, a.id))
	deadline := time.Now().Add(requestDeadline)
	for pause := resendTime; time.Now().Before(deadline); pause = min(2*pause, maxResendTime) {
		a.write(flagACK, a.ack, data)
		resendAt := time.Now().Add(min(pause, time.Until(deadline)))
		for time.Now().Before(resendAt) {
			p, ok := a.next(time.Until(resendAt))
			switch {
			case !ok || (len(p.data) == 0 && p.flags&flagRST == 0):
				continue
			case p.flags&flagRST != 0:
				a.client.world.recordReset(a)
				return outcomeReset
			}
			a.seq += uint32(len(data))
			a.ack = p.seq + uint32(len(p.data))
			a.write(flagACK|flagFIN, a.ack, nil)
			return a.check(string(p.data), service)
		}
	}
	return outcomeUnanswered
}

// check compares an answer with the request.
func (a *attempt) check(answer, service string) outcome {
	if strings.HasPrefix(answer, "HTTP/1.1 503") {
		return outcomeShed
	}
	if !strings.Contains(answer, "\r\n\r\n"+a.id+" by ") {
		a.client.world.breaks("MIXED", "request %s got the answer %q", a.id, answer)
	}
	if !strings.HasSuffix(answer, " of "+service) {
		a.client.world.breaks("ROUTE", "request %s for %s got the answer %q", a.id, service, answer)
	}
	return outcomeServed
}

func (a *attempt) next(limit time.Duration) (packet, bool) {
	timer := time.NewTimer(max(limit, time.Millisecond))
	defer timer.Stop()
	select {
	case p := <-a.inbox:
		return p, true
	case <-timer.C:
		return packet{}, false
	}
}

// write sends a packet through the front machine that the router selects.
func (a *attempt) write(flags byte, ack uint32, data []byte) {
	target, ok := a.client.world.route(a.client.zone, a.key)
	if !ok {
		return
	}
	p := packet{source: a.key.client, destination: a.key.route, flags: flags, seq: a.seq, ack: ack, data: data}
	_, _ = a.client.conn.WriteToUDPAddrPort(p.encode(), target) // the machine may be down
}
