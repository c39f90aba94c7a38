package hickoryflow_test

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// balanceCase holds the parameters of one run of the model.
type balanceCase struct {
	hosts, flows, zones int
	slots, connections  int
	rampTime            time.Duration
	// lifetime is the mean time for which a flow stays open.
	lifetime time.Duration
	// length is the simulated time after the first flows have been opened.
	length time.Duration
	// noticeDelay is added to the network delay of each load notice.
	noticeDelay time.Duration
	// noNotices drops all load notices, so that flows stay where the hash
	// assigns them.
	noNotices bool
	// ideal gives each flow to the less loaded of two random hosts by their
	// exact load.
	ideal bool
	// dead makes the upstreams answer nothing.
	dead bool
}

// fleet simulates one tracker for each upstream on virtual time.
type fleet struct {
	balanceCase
	random   *rand.Rand
	now      hickorymodel.Instant
	events   eventHeap
	order    int
	service  hickorymodel.Service
	table    *hickorytable.Table
	trackers []*hickoryflow.Tracker
	index    map[hickorymodel.Endpoint]int
	owners   map[hickorymodel.FlowKey]int
	open     []int
	nextPort uint32

	firstPackets, offers, crossZone, dropped, notices int
}

type event struct {
	at    hickorymodel.Instant
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fleetStart is late enough after the start of the balancers that no bucket is
// in transition.
const fleetStart = hickorymodel.Instant(time.Hour)

func newFleet(c balanceCase, seed uint64) *fleet {
	f := &fleet{
		balanceCase: c,
		random:      rand.New(rand.NewPCG(seed, 1)),
		now:         fleetStart,
		index:       map[hickorymodel.Endpoint]int{},
		owners:      map[hickorymodel.FlowKey]int{},
		open:        make([]int, c.hosts),
	}
	f.service = hickorymodel.Service{
		Name:           "clubroom",
		Number:         1,
		Addresses:      []hickorymodel.ServiceAddress{{Socket: serviceSocket(), Protocol: hickorymodel.ProtocolTCP}},
		Slots:          hickoryid.Slots(c.slots),
		Connections:    hickoryid.Connections(c.connections),
		RampTime:       c.rampTime,
		OpeningTimeout: 2 * time.Second,
	}
	for i := range c.hosts {
		endpoint := hickorymodel.Endpoint{Address: [4]byte{10, 2, 0, byte(i + 1)}, Port: 6081}
		f.index[endpoint] = i
		f.service.Upstreams = append(f.service.Upstreams, hickorymodel.Upstream{
			ID:       hickoryid.UpstreamID(fmt.Sprintf("clubroom-%d-%d", seed, i)),
			Zone:     hickoryid.ZoneName(fmt.Sprintf("zone-%d", i%max(c.zones, 1))),
			Endpoint: endpoint,
		})
	}
	f.table = hickorytable.NewBuilder(0).Build(f.now, []hickorymodel.Service{f.service})
	for i, upstream := range f.service.Upstreams {
		f.trackers = append(f.trackers, f.newTracker(upstream))
		f.after(time.Duration(i)*time.Millisecond, func() { f.tick(i) })
	}
	return f
}

// newTracker returns the tracker of an upstream that starts cold.
func (f *fleet) newTracker(upstream hickorymodel.Upstream) *hickoryflow.Tracker {
	tracker := hickoryflow.NewTracker(upstream.Endpoint, upstream.ID, rand.New(rand.NewPCG(f.random.Uint64(), 0)))
	tracker.SetService(f.service, f.table)
	return tracker
}

func serviceSocket() hickorymodel.SocketAddress {
	return hickorymodel.NewSocketAddress(netip.MustParseAddrPort("10.1.0.1:443"))
}

func (f *fleet) after(delay time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now.Add(delay), order: f.order, run: run})
}

// run handles the events of the given time from now.
func (f *fleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.events) > 0 && f.events[0].at <= end {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// fill opens the flows evenly over the given time and then runs for the case's
// length.
func (f *fleet) fill(over time.Duration) {
	for i := range f.flows {
		f.after(over*time.Duration(i)/time.Duration(f.flows), f.openFlow)
	}
	f.run(over + f.length)
}

func (f *fleet) tick(host int) {
	f.perform(host, f.trackers[host].Tick(f.now))
	f.after(hickoryflow.TickInterval, func() { f.tick(host) })
}

func (f *fleet) delay() time.Duration {
	return 3*time.Millisecond + time.Duration(f.random.Int64N(int64(time.Millisecond)))
}

func (f *fleet) openFlow() {
	f.nextPort++
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], 10<<24|9<<16|f.nextPort>>16)
	key := hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.AddrFrom4(source), uint16(f.nextPort))),
		Destination: serviceSocket(),
		Protocol:    hickorymodel.ProtocolTCP,
	}
	if f.ideal {
		f.firstPackets++
		f.deliver(f.idealHost(), &hickoryflow.Packet{Key: key, First: true})
		return
	}
	f.sendFirst(key, time.Second)
}

func (f *fleet) idealHost() int {
	first, second := f.random.IntN(f.hosts), f.random.IntN(f.hosts-1)
	if second >= first {
		second++
	}
	if f.open[second] < f.open[first] {
		return second
	}
	return first
}

// sendFirst sends the first packet of a flow and retransmits it, doubling the
// interval each time, until the flow has an owner or the interval reaches one
// minute.
func (f *fleet) sendFirst(key hickorymodel.FlowKey, retry time.Duration) {
	f.firstPackets++
	f.fromBalancer(&hickoryflow.Packet{Key: key, First: true})
	f.after(retry, func() {
		if _, owned := f.owners[key]; !owned && retry < time.Minute {
			f.sendFirst(key, 2*retry)
		}
	})
}

func (f *fleet) fromBalancer(p *hickoryflow.Packet) {
	var choice hickorytable.Choice
	f.table.Choose(f.now, &p.Key, &choice)
	p.Service = choice.Service
	p.Candidates = choice.Candidates
	f.toAgent(f.index[choice.Candidates[0].Endpoint], p)
}

func (f *fleet) toAgent(host int, p *hickoryflow.Packet) {
	f.after(f.delay(), func() { f.perform(host, f.trackers[host].Handle(f.now, p)) })
}

// perform executes a copy of the actions, since the tracker reuses their
// memory.
func (f *fleet) perform(host int, actions []hickoryflow.Action) {
	for _, action := range slices.Clone(actions) {
		switch action.Verb {
		case hickoryflow.VerbDeliver:
			f.deliver(host, action.Packet)
		case hickoryflow.VerbForward:
			f.countForward(host, &action)
			p := *action.Packet
			p.From = f.service.Upstreams[host].Endpoint
			f.toAgent(f.index[action.Target], &p)
		case hickoryflow.VerbSend:
			f.sendDatagram(host, action.Target, action.Datagram)
		case hickoryflow.VerbMeasure:
			// Metrics are of no interest here.
		default:
			if action.Packet.First {
				f.dropped++
			}
		}
	}
}

func (f *fleet) countForward(host int, action *hickoryflow.Action) {
	if !action.Packet.First {
		return
	}
	f.offers++
	if f.service.Upstreams[host].Zone != f.service.Upstreams[f.index[action.Target]].Zone {
		f.crossZone++
	}
}

func (f *fleet) sendDatagram(host int, target hickorymodel.Endpoint, datagram *hickorymessage.Datagram) {
	delay := f.delay()
	if datagram.LoadNotice != nil {
		f.notices++
		if f.noNotices {
			return
		}
		delay += f.noticeDelay
	}
	from := f.service.Upstreams[host].Endpoint
	to := f.index[target]
	f.after(delay, func() { f.perform(to, f.trackers[to].HandleDatagram(f.now, from, datagram)) })
}

// deliver answers a first packet and ends the flow after its lifetime. A new
// flow replaces it.
func (f *fleet) deliver(host int, p *hickoryflow.Packet) {
	key := p.Key
	if _, known := f.owners[key]; known || !p.First {
		return
	}
	f.owners[key] = host
	f.open[host]++
	if f.dead {
		return
	}
	f.packetAfter(2*f.delay(), hickoryflow.Packet{Key: key})
	lifetime := max(time.Duration(f.random.ExpFloat64()*float64(f.lifetime)), 50*time.Millisecond)
	tracker := f.trackers[host]
	f.after(lifetime, func() {
		if f.trackers[host] != tracker {
			f.openFlow()
			return
		}
		f.packetAfter(0, hickoryflow.Packet{Key: key, Closing: true})
		f.open[host]--
		f.openFlow()
	})
}

// packetAfter sends a later packet of a flow.
func (f *fleet) packetAfter(delay time.Duration, p hickoryflow.Packet) {
	if !f.ideal {
		f.after(delay, func() { f.fromBalancer(&p) })
	}
}

// imbalance returns the largest number of open flows of a host divided by the
// mean.
func (f *fleet) imbalance() float64 {
	sum := 0
	for _, open := range f.open {
		sum += open
	}
	return float64(slices.Max(f.open)*len(f.open)) / float64(max(sum, 1))
}
