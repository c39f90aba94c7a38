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
	// resendTime is the time to the first retransmission; it doubles up to maxResendTime.
	resendTime    = 200 * time.Millisecond
	maxResendTime = 1600 * time.Millisecond
	maxResends    = 8
	// serverSlots and serverQueue are the requests that a host works on and queues.
	serverSlots = 2
	serverQueue = 8
)

// host is a stand-in for one application host. It receives packets from the agent on its
// machine only, and sends all of its own to that agent.
type host struct {
	world             *world
	service, zone, ip string
	conn              *net.UDPConn
	outbound          netip.AddrPort
	work              time.Duration

	mutex sync.Mutex
	id    string
	// incarnation rises with each start, so that work of an earlier one ends.
	incarnation int
	running     bool
	state       string
	born        time.Time
	coldUntil   time.Time
	sequence    int
	flows       map[flowKey]*hostFlow
	slots       chan struct{}
	queued      int
}

// hostFlow is the host's end of one flow.
type hostFlow struct {
	seq, next  uint32
	open       bool
	closing    bool
	working    bool
	unacked    []byte
	unackedSeq uint32
	acked      chan struct{}
}

func (h *host) address() netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(h.ip), portApp)
}

// start begins a new incarnation under an id. Cold is how long it is slow.
func (h *host) start(id string, cold time.Duration) {
	h.mutex.Lock()
	h.id, h.state, h.running = id, "ready", true
	h.born = time.Now()
	h.coldUntil = h.born.Add(cold)
	h.sequence = 0
	h.incarnation++
	h.flows = map[flowKey]*hostFlow{}
	h.slots = make(chan struct{}, serverSlots)
	h.queued = 0
	incarnation := h.incarnation
	h.mutex.Unlock()
	h.world.record.add("host %s of %s in %s starts at %s", id, h.service, h.zone, h.address())
	go func() {
		for h.is(incarnation) {
			h.beat()
			time.Sleep(heartbeat)
		}
	}()
}

func (h *host) isRunning() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.running
}

func (h *host) is(incarnation int) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.running && h.incarnation == incarnation
}

// beat writes the host's entry.
func (h *host) beat() (time.Time, bool) {
	h.mutex.Lock()
	h.sequence++
	cold := max(time.Until(h.coldUntil), 0)
	key := storeKey(h.id)
	value := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"cold-left-ms":%d,"born":%d,"sequence":%d}`,
		h.service, h.address(), h.zone, serverSlots, h.state, cold.Milliseconds(), h.born.UnixMilli(), h.sequence)
	h.mutex.Unlock()
	return h.world.store.beat(key, value)
}

// drain reports that the host leaves, and returns when the store has acknowledged it.
func (h *host) drain() time.Time {
	h.mutex.Lock()
	h.state = "draining"
	h.mutex.Unlock()
	for {
		if at, ok := h.beat(); ok {
			h.world.record.add("host %s: the store has acknowledged that it drains", h.id)
			return at
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// stop ends the host, which removes its entry, and returns the number of requests that it
// has broken off.
func (h *host) stop() int {
	broken := h.crash()
	h.world.store.remove(storeKey(h.id))
	return broken
}

// crash ends the host without a word. Its flows are gone.
func (h *host) crash() int {
	h.mutex.Lock()
	broken := 0
	for _, f := range h.flows {
		if f.working {
			broken++
		}
	}
	h.running = false
	h.flows = map[flowKey]*hostFlow{}
	h.mutex.Unlock()
	h.world.record.add("host %s ends; %d requests were at work", h.id, broken)
	return broken
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := h.conn.Read(buffer)
		if err != nil {
			return
		}
		datagram := append([]byte(nil), buffer[:n]...)
		if p, genuine, ok := decode(datagram); ok {
			h.handle(datagram, &p, genuine)
		}
	}
}

func (h *host) handle(datagram []byte, p *packet, genuine bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if !h.running {
		return
	}
	if !genuine {
		h.world.breaks("UNASKED", "host %s got a packet that its sender did not write so", h.id)
		return
	}
	key := flowKey{client: p.source, route: p.destination}
	f := h.flows[key]
	switch {
	case p.isFirst():
		h.handleFirst(key, f, p)
	case f == nil || (!f.open && p.ack != f.seq+1):
		datagram[24] |= flagBounced
		h.send(datagram)
	default:
		f.open = true
		h.handleData(key, f, p)
	}
}

func (h *host) handleFirst(key flowKey, f *hostFlow, p *packet) {
	if f == nil {
		f = &hostFlow{seq: rand.Uint32(), next: p.seq + 1}
		h.flows[key] = f
		h.world.recordOpening(h, key)
	}
	h.reply(key, flagSYN|flagACK, f.seq, f.next, nil)
}

func (h *host) handleData(key flowKey, f *hostFlow, p *packet) {
	if f.unacked != nil && p.ack-f.unackedSeq >= uint32(len(f.unacked)) && p.ack-f.unackedSeq < 1<<31 {
		f.unacked = nil
		close(f.acked)
	}
	if p.flags&(flagFIN|flagRST) != 0 {
		if p.flags&flagFIN != 0 {
			h.reply(key, flagACK|flagFIN, p.ack, p.seq+uint32(len(p.data))+1, nil)
		}
		delete(h.flows, key)
		return
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == f.next && !f.working && f.unacked == nil && !f.closing {
		f.next += uint32(len(p.data))
		f.working = true
		go h.run(key, f, string(p.data), p.ack, h.incarnation)
	}
	h.reply(key, flagACK, p.ack, f.next, nil)
}

// run works on a request and sends the answer until the client has acknowledged it.
func (h *host) run(key flowKey, f *hostFlow, request string, seq uint32, incarnation int) {
	id := headerOf(request, "X-Attempt-Id")
	h.mutex.Lock()
	slots := h.slots
	shed := h.queued >= serverSlots+serverQueue
	if !shed {
		h.queued++
	}
	h.mutex.Unlock()
	answer := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	if !shed {
		slots <- struct{}{}
		if !h.is(incarnation) {
			return
		}
		h.world.recordRun(h, id)
		time.Sleep(h.work)
		<-slots
		if !h.is(incarnation) {
			return
		}
		body := fmt.Sprintf("%s by %s of %s", id, h.id, h.service)
		answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	h.mutex.Lock()
	if !shed {
		h.queued--
	}
	f.working = false
	f.unacked, f.unackedSeq, f.acked = []byte(answer), seq, make(chan struct{})
	acked := f.acked
	f.closing = h.state == "draining"
	h.mutex.Unlock()
	pause := resendTime
	for range maxResends + 1 {
		h.mutex.Lock()
		if h.running && h.incarnation == incarnation {
			h.reply(key, flagACK, seq, f.next, []byte(answer))
		}
		h.mutex.Unlock()
		select {
		case <-acked:
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, maxResendTime)
	}
}

func headerOf(request, name string) string {
	_, after, _ := strings.Cut(request, "\r\n"+name+": ")
	value, _, _ := strings.Cut(after, "\r\n")
	return value
}

func (h *host) reply(key flowKey, flags byte, seq, ack uint32, data []byte) {
	p := packet{source: key.route, destination: key.client, flags: flags, seq: seq, ack: ack, data: data}
	h.send(p.encode())
}

func (h *host) send(datagram []byte) {
	_, _ = h.conn.WriteToUDPAddrPort(datagram, h.outbound) // the agent may be down
}
