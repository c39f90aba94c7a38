package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// router plays the platform's routers: it checks the fronts and hands each packet to one
// that is in rotation in the client's zone, chosen by a hash of the four addresses.
type router struct {
	cluster *cluster
	done    chan struct{}

	mutex  sync.Mutex
	misses map[*machine]int
	// out holds the machines that are out of rotation.
	out map[*machine]bool
}

// checkInterval is the time between two readiness checks of a machine.
const checkInterval = 500 * time.Millisecond

func newRouter(c *cluster) *router {
	r := &router{cluster: c, done: make(chan struct{}), misses: map[*machine]int{}, out: map[*machine]bool{}}
	return r
}

// check polls one front until the cluster is closed.
func (r *router) check(m *machine) {
	r.mutex.Lock()
	r.out[m] = true
	r.mutex.Unlock()
	for {
		ready := r.cluster.ready(m)
		r.mutex.Lock()
		if ready {
			r.misses[m] = 0
		} else {
			r.misses[m]++
		}
		out := (r.out[m] && !ready) || r.misses[m] >= 2
		changed := out != r.out[m]
		r.out[m] = out
		r.mutex.Unlock()
		if changed {
			r.cluster.record.add("%s in rotation: %v", m.name, !out)
		}
		select {
		case <-r.done:
			return
		case <-time.After(checkInterval):
		}
	}
}

// choose returns the front for a flow.
func (r *router) choose(zone string, key flowKey) *machine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	list := r.rotation(zone)
	if len(list) == 0 {
		for _, m := range r.cluster.machines {
			if m.class == "front" && m.zone != zone && !r.out[m] {
				list = append(list, m)
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(key.client.String() + key.route.String()))
	return list[h.Sum64()%uint64(len(list))]
}

// rotation returns the fronts of a zone in rotation: all of them if fewer than half are
// ready, but none if none is.
func (r *router) rotation(zone string) []*machine {
	all, in := []*machine{}, []*machine{}
	for _, m := range r.cluster.machines {
		if m.class == "front" && m.zone == zone {
			all = append(all, m)
			if !r.out[m] {
				in = append(in, m)
			}
		}
	}
	if len(in) > 0 && 2*len(in) < len(all) {
		return all
	}
	return in
}

// clientMachine is the address of the clients. Their ports are only in the headers of
// packets.
type clientMachine struct {
	cluster *cluster
	conn    *net.UDPConn
	ip      [4]byte
	mutex   sync.Mutex
	port    uint16
	flows   map[flowKey]*clientFlow
}

func newClientMachine(c *cluster) (*clientMachine, error) {
	m := &clientMachine{cluster: c, ip: c.ip(3, 1), port: 40000, flows: map[flowKey]*clientFlow{}}
	var err error
	m.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: m.ip[:], Port: int(c.ports.datagram)})
	if err != nil {
		return nil, err
	}
	go m.receive()
	return m, nil
}

func (m *clientMachine) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := m.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		b := append([]byte(nil), buffer[:n]...)
		p, ok := decode(b)
		if !ok {
			continue
		}
		m.mutex.Lock()
		f := m.flows[flowKey{client: p.dst, route: p.src}]
		m.mutex.Unlock()
		if f != nil {
			f.handle(p, b)
		}
	}
}

// clientFlow is a flow of a client, which sends one request after the other.
type clientFlow struct {
	machine *clientMachine
	key     flowKey
	zone    string

	mutex sync.Mutex
	seq   uint32
	next  uint32
	// startedAt is when the first packet was sent, before its copies.
	startedAt  time.Time
	openedAt   time.Time
	lastSentAt time.Time
	// ended is why the flow has ended; empty while it is open.
	ended string
	// answers gets the id of each answered request, events wakes the sender.
	answered map[string]bool
	wake     chan struct{}
}

// open opens a flow to a route: SYN, two copies, and the acknowledgement.
func (m *clientMachine) open(zone string, route address) (*clientFlow, error) {
	m.mutex.Lock()
	m.port++
	key := flowKey{client: address{m.ip, m.port}, route: route}
	f := &clientFlow{machine: m, key: key, zone: zone, seq: rand.Uint32(), answered: map[string]bool{}, wake: make(chan struct{}, 16)}
	m.flows[key] = f
	m.mutex.Unlock()
	f.mutex.Lock()
	first := f.seq
	f.mutex.Unlock()
	for i, wait := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		f.mutex.Lock()
		if i == 0 {
			f.startedAt = time.Now()
		}
		f.send(&packet{seq: first, ack: uint32(i), flags: flagSYN})
		f.mutex.Unlock()
		if f.await(wait, func() bool { return !f.openedAt.IsZero() || f.ended != "" }) {
			break
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.openedAt.IsZero() {
		return nil, fmt.Errorf("flow %s does not open (%s)", key.client, f.ended)
	}
	return f, nil
}

// await waits for a condition, which is read with the mutex.
func (f *clientFlow) await(limit time.Duration, condition func() bool) bool {
	deadline := time.After(limit)
	for {
		f.mutex.Lock()
		met := condition()
		f.mutex.Unlock()
		if met {
			return true
		}
		select {
		case <-f.wake:
		case <-deadline:
			return false
		}
	}
}

func (f *clientFlow) send(p *packet) {
	p.src, p.dst = f.key.client, f.key.route
	front := f.machine.cluster.router.choose(f.zone, f.key)
	f.lastSentAt = time.Now()
	if front == nil {
		return
	}
	_, _ = f.machine.conn.WriteToUDP(p.encode(), &net.UDPAddr{IP: front.ip[:], Port: int(f.machine.cluster.ports.datagram)})
}

func (f *clientFlow) handle(p *packet, b []byte) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	defer func() {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}()
	record := f.machine.cluster.record
	if p.flags&flagRST != 0 {
		own := p.sum != 0 && intact(b)
		valid := f.openedAt.IsZero() || own || distance(p.seq, f.next) <= 76800
		if !valid || f.ended != "" {
			return
		}
		sender := "the load balancer"
		if own {
			sender = "the host"
		}
		f.ended = "reset by " + sender
		record.add("client of flow %s gets a reset of %s, %.1f s after the flow was opened", f.key.client, sender, time.Since(f.openedAt).Seconds())
		return
	}
	if !intact(b) {
		record.add("client of flow %s gets bytes that no host sent", f.key.client)
		return
	}
	if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
		if f.openedAt.IsZero() {
			f.openedAt = time.Now()
			f.seq++
			f.next = p.seq + 1
			f.send(&packet{seq: f.seq, ack: f.next, flags: flagACK})
		}
		return
	}
	if len(p.data) > 0 && p.seq == f.next {
		f.next += uint32(len(p.data))
		f.answered[requestID(p.data)] = true
	}
	if len(p.data) > 0 {
		f.send(&packet{seq: f.seq, ack: f.next, flags: flagACK})
	}
}

func distance(a, b uint32) uint32 {
	if int32(a-b) < 0 {
		return b - a
	}
	return a - b
}

// request sends a request on the flow and waits for its answer until the deadline. It
// returns how the request ended.
func (f *clientFlow) request(id string, deadline time.Duration) string {
	c := f.machine.cluster
	body := "check-in"
	data := fmt.Appendf(nil, "POST /check-in HTTP/1.1\r\nHost: clubs\r\nX-Attempt-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	f.mutex.Lock()
	p := &packet{seq: f.seq, ack: f.next, flags: flagACK, data: data}
	f.seq += uint32(len(data))
	idle := time.Since(f.lastSentAt)
	f.mutex.Unlock()
	if front := c.router.choose(f.zone, f.key); front != nil {
		c.record.add("client sends request %s on flow %s through %s, after a pause of %.1f s", id, f.key.client, front.name, idle.Seconds())
	}
	begun := time.Now()
	done := func() bool { return f.answered[id] || f.ended != "" }
	for wait := 200 * time.Millisecond; time.Since(begun) < deadline; wait = min(2*wait, 1600*time.Millisecond) {
		f.mutex.Lock()
		f.send(p)
		f.mutex.Unlock()
		if f.await(min(wait, deadline-time.Since(begun)), done) {
			break
		}
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	result := "deadline"
	switch {
	case f.answered[id]:
		result = "answered"
	case f.ended != "":
		result = f.ended
	}
	c.record.add("request %s on flow %s: %s", id, f.key.client, result)
	return result
}
