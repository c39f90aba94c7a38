package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// hostFlow is a flow at a host.
type hostFlow struct {
	open   bool
	seq    uint32 // sequence number of the host's next byte
	next   uint32 // sequence number of the next byte from the client
	unsent []byte // the last packet that is not acknowledged yet
	// acked is the highest acknowledgement of the client.
	acked uint32
}

// host plays a server of an application beside an agent. It runs requests and answers
// them on flows.
type host struct {
	name     string // id in the store
	service  string
	zone     string
	ip       [4]byte
	ports    ports
	store    *store
	record   *record
	work     time.Duration
	born     int64
	conn     *net.UDPConn
	health   *http.Server
	mutex    sync.Mutex
	flows    map[flowKey]*hostFlow
	sequence int
	state    string
	// coldUntil is when the host stops being cold.
	coldUntil time.Time
	// arrivals has the time of the first packet of each flow.
	arrivals []arrival
	done     chan struct{}
}

// arrival is the first packet of a flow at a host.
type arrival struct {
	key flowKey
	at  time.Time
}

// entry is the value of the host's key in the store.
func (h *host) entry() map[string]any {
	h.sequence++
	return map[string]any{
		"service": h.service, "address": address{h.ip, h.ports.app}.String(), "zone": h.zone, "version": "v1",
		"slots": 6, "state": h.state, "cold-left-ms": max(time.Until(h.coldUntil), 0).Milliseconds(), "sequence": h.sequence, "born": h.born,
	}
}

// startHost starts a host. Its clock is ahead of the true time by clockAhead, and it is
// cold for some time.
func startHost(c *cluster, name, service, zone string, ip [4]byte, clockAhead, cold time.Duration) (*host, error) {
	h := &host{
		name: name, service: service, zone: zone, ip: ip, ports: c.ports, store: c.store, record: c.record, work: 30 * time.Millisecond,
		born: time.Now().Add(clockAhead).UnixMilli(), flows: map[flowKey]*hostFlow{}, state: "ready", done: make(chan struct{}),
		coldUntil: time.Now().Add(cold),
	}
	var err error
	if h.conn, err = net.ListenUDP("udp4", &net.UDPAddr{IP: ip[:], Port: int(c.ports.app)}); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address{ip, c.ports.app}.String())
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	h.health = &http.Server{Handler: mux}
	go func() { _ = h.health.Serve(listener) }()
	go h.receive()
	go h.heartbeat()
	h.record.add("host %s of %s starts at %s, its clock is %v ahead", name, service, address{ip, c.ports.app}, clockAhead)
	return h, nil
}

func (h *host) heartbeat() {
	h.store.put("servers/"+h.name, h.entry())
	// The entry is written again only when more than its sequence changes.
	<-h.done
}

func (h *host) close() {
	close(h.done)
	_ = h.conn.Close()
	_ = h.health.Close()
}

func (h *host) send(b []byte) {
	_, _ = h.conn.WriteToUDP(b, &net.UDPAddr{IP: h.ip[:], Port: int(h.ports.outbound)})
}

func (h *host) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := h.conn.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		b := append([]byte(nil), buffer[:n]...)
		p, ok := decode(b)
		if !ok || !intact(b) {
			h.record.add("host %s gets bytes that no client sent", h.name)
			continue
		}
		h.handle(p, b)
	}
}

func (h *host) handle(p *packet, b []byte) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	key := flowKey{client: p.src, route: p.dst}
	f, known := h.flows[key]
	if p.flags&(flagSYN|flagACK) == flagSYN {
		if !known {
			f = &hostFlow{seq: rand.Uint32(), next: p.seq + 1}
			h.flows[key] = f
			h.arrivals = append(h.arrivals, arrival{key, time.Now()})
		}
		if !f.open {
			h.send((&packet{seq: f.seq, ack: f.next, dst: key.client, src: key.route, flags: flagSYN | flagACK}).encode())
		}
		return
	}
	if known && !f.open && p.ack == f.seq+1 {
		f.open = true
		f.seq++
		f.acked = f.seq
		h.record.add("host %s holds the open flow %s", h.name, key.client)
	}
	if !known || !f.open {
		h.record.add("host %s returns a packet of flow %s, which it does not hold", h.name, key.client)
		b[24] |= flagBounced
		h.send(b)
		return
	}
	if p.flags&flagRST != 0 || p.flags&flagFIN != 0 {
		delete(h.flows, key)
		return
	}
	if int32(p.ack-f.acked) > 0 {
		f.acked = p.ack
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq != f.next { // a copy
		h.send((&packet{seq: f.seq, ack: f.next, dst: key.client, src: key.route, flags: flagACK}).encode())
		return
	}
	f.next += uint32(len(p.data))
	id := requestID(p.data)
	h.record.add("host %s runs request %s of flow %s", h.name, id, key.client)
	time.AfterFunc(h.work, func() { h.answer(key, id) })
}

// answer sends the answer of a request, again and again until it is acknowledged.
func (h *host) answer(key flowKey, id string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f, known := h.flows[key]
	if !known {
		return
	}
	body := strings.Repeat("x", 500)
	data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, h.name, len(body), body)
	p := &packet{seq: f.seq, ack: f.next, dst: key.client, src: key.route, flags: flagACK, data: data}
	f.seq += uint32(len(data))
	h.record.add("host %s answers request %s", h.name, id)
	h.sendUntilAcked(key, p, f.seq, 200*time.Millisecond, 8)
}

// sendUntilAcked sends a packet; the caller holds the mutex.
func (h *host) sendUntilAcked(key flowKey, p *packet, end uint32, wait time.Duration, copies int) {
	f, known := h.flows[key]
	if !known || int32(f.acked-end) >= 0 {
		return
	}
	h.send(p.encode())
	if copies == 0 {
		return
	}
	time.AfterFunc(wait, func() {
		h.mutex.Lock()
		defer h.mutex.Unlock()
		h.sendUntilAcked(key, p, end, min(2*wait, 1600*time.Millisecond), copies-1)
	})
}

// opened returns the arrivals so far.
func (h *host) opened() []arrival {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]arrival(nil), h.arrivals...)
}

// holds reports whether the host holds an open flow.
func (h *host) holds(key flowKey) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	f, known := h.flows[key]
	return known && f.open
}

// requestID returns the value of X-Attempt-Id.
func requestID(data []byte) string {
	_, rest, found := bytes.Cut(data, []byte("X-Attempt-Id: "))
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}
