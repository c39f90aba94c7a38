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

// ClientZone is the place of the callers and of the fabric's own sockets.
const ClientZone hickoryid.ZoneName = "clients"

// Link is the path from one zone to another.
type Link struct {
	// Delay is the one-way time; Jitter adds a uniform random time below it.
	Delay  time.Duration
	Jitter time.Duration
	// Loss is the share of packets lost, between 0 and 1.
	Loss float64
}

// zonePair names a direction.
type zonePair struct {
	from hickoryid.ZoneName
	to   hickoryid.ZoneName
}

// Network delays, jitters and loses the packets that leave the sockets it
// carries. One goroutine holds all delayed packets in a timer queue.
type Network struct {
	group *hickoryduty.Group
	queue *timerQueue

	mutex  sync.Mutex
	random *rand.Rand
	// standard holds for pairs of different zones without a link of their own.
	defaultLink Link
	links       map[zonePair]Link
	zones       map[hickorymodel.Endpoint]hickoryid.ZoneName
	// watched holds the boundaries that are being counted.
	zoneCounters map[hickoryid.ZoneName]*zoneCounter
	lost         int
}

// NewNetwork returns a network in which different zones are joined by one kind of link.
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

// Close ends the network; packets on their way are lost.
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

// AssignZone says in which zone a socket is. Sockets without a place are in ClientZone.
func (n *Network) AssignZone(endpoint hickorymodel.Endpoint, zone hickoryid.ZoneName) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.zones[endpoint] = zone
}

// Carrier returns the carrier of the sockets in a zone.
func (n *Network) Carrier(zone hickoryid.ZoneName) hickorysocket.Carrier {
	return func(frame hickoryring.Frame, write func(hickoryring.Frame)) {
		n.transmit(zone, frame, write)
	}
}

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

// route returns the time a packet takes, or false when it is lost.
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

func (n *Network) deliver(frame hickoryring.Frame, write func(hickoryring.Frame)) {
	n.mutex.Lock()
	if counter := n.zoneCounters[n.zone(frame.Peer)]; counter != nil {
		counter.count(time.Now(), frame.Bytes)
	}
	n.mutex.Unlock()
	write(frame)
}

// Lost returns the number of packets that links and a full queue have lost.
func (n *Network) Lost() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.lost + n.queue.droppedCount()
}
