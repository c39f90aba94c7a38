package hickorystandin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickoryid"
)

// ClientZone is the zone of the callers and of the fabric's sockets.
const ClientZone hickoryid.ZoneName = "clients"

// Link is the path from one zone to another.
type Link struct {
	// Delay is the one-way delay. A uniformly distributed random time below Jitter
	// is added to it.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the fraction of packets lost, between 0 and 1.
	Loss float64
}

// zonePair identifies one direction of a link.
type zonePair struct {
	from hickoryid.ZoneName
	to   hickoryid.ZoneName
}

// Network simulates the links between zones: it delays and drops the packets that
// leave sockets with one of its carriers. One goroutine sends all delayed packets
// from a timer queue.
type Network struct {
	group *hickoryduty.Group
	queue *timerQueue

	mutex  sync.Mutex
	random *rand.Rand
	// defaultLink joins different zones that have no entry in links.
	defaultLink Link
	links       map[zonePair]Link
	zones       map[hickorymodel.Endpoint]hickoryid.ZoneName
	// zoneCounters holds the zones whose datagrams are being counted.
	zoneCounters map[hickoryid.ZoneName]*zoneCounter
	// lost counts the packets that links dropped.
	lost int
}

// NewNetwork returns a network that joins different zones by the default link.
// Packets within a zone are neither delayed nor dropped, unless SetLink sets a link
// from the zone to itself.
func NewNetwork(defaultLink Link, logger *hickorylog.Logger, random *rand.Rand) *Network {
	n := &Network{
		group:        hickoryduty.New("network", logger),
		queue:        newTimerQueue(),
		random:       random,
		defaultLink:  defaultLink,
		links:        map[zonePair]Link{},
		zones:        map[hickorymodel.Endpoint]hickoryid.ZoneName{},
		zoneCounters: map[hickoryid.ZoneName]*zoneCounter{},
	}
	n.group.Add("carry", n.queue.run)
	return n
}

// Start runs the network until Close.
func (n *Network) Start(ctx context.Context) {
	n.group.Start(ctx)
}

// Close stops the network. Delayed packets are lost.
func (n *Network) Close() error {
	return n.group.Close()
}

// SetLink replaces the link between two zones in both directions.
func (n *Network) SetLink(a, b hickoryid.ZoneName, link Link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.links[zonePair{from: a, to: b}] = link
	n.links[zonePair{from: b, to: a}] = link
}

// AssignZone sets the zone of a socket. Other sockets are in ClientZone.
func (n *Network) AssignZone(endpoint hickorymodel.Endpoint, zone hickoryid.ZoneName) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[endpoint] = zone
}

// Carrier returns the function that sends the packets of sockets in a zone over
// the network.
func (n *Network) Carrier(zone hickoryid.ZoneName) hickorysocket.Carrier {
	return func(frame hickoryring.Frame, write func(hickoryring.Frame)) {
		n.transmit(zone, frame, write)
	}
}

// transmit sends a packet over the link from a zone to the zone of its receiver.
func (n *Network) transmit(from hickoryid.ZoneName, frame hickoryring.Frame, write func(hickoryring.Frame)) {
	delay, ok := n.linkDelay(from, frame.Peer)
	if !ok {
		return
	}
	if delay <= 0 {
		n.deliver(frame, write)
		return
	}
	n.queue.at(time.Now().Add(delay), func() { n.deliver(frame, write) })
}

// linkDelay returns the delay of a packet, or false if it is lost.
func (n *Network) linkDelay(from hickoryid.ZoneName, to hickorymodel.Endpoint) (time.Duration, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link := n.link(from, n.zone(to))
	if link.Loss > 0 && n.random.Float64() < link.Loss {
		n.lost++
		return 0, false
	}
	delay := link.Delay
	if link.Jitter > 0 {
		delay += time.Duration(n.random.Int64N(int64(link.Jitter)))
	}
	return delay, true
}

func (n *Network) zone(endpoint hickorymodel.Endpoint) hickoryid.ZoneName {
	if zone, ok := n.zones[endpoint]; ok {
		return zone
	}
	return ClientZone
}

func (n *Network) link(from, to hickoryid.ZoneName) Link {
	if link, ok := n.links[zonePair{from: from, to: to}]; ok {
		return link
	}
	if from == to {
		return Link{}
	}
	return n.defaultLink
}

// deliver counts a packet that arrives and writes it to the socket.
func (n *Network) deliver(frame hickoryring.Frame, write func(hickoryring.Frame)) {
	n.mutex.Lock()
	if counter := n.zoneCounters[n.zone(frame.Peer)]; counter != nil {
		counter.count(time.Now(), frame.Bytes)
	}
	n.mutex.Unlock()
	write(frame)
}

// Lost returns the number of packets dropped by links or because the timer queue
// was full.
func (n *Network) Lost() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lost + n.queue.droppedCount()
}
