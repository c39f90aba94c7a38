package hickoryscenario

import (
	"encoding/binary"
	"net/netip"
	"time"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
)

// Times after the first transmission at which a caller repeats a packet that was not
// answered.
var (
	firstRetries = []time.Duration{time.Second, 3 * time.Second, 7 * time.Second, 15 * time.Second, 31 * time.Second, 63 * time.Second}
	dataRetries  = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6200 * time.Millisecond, 12600 * time.Millisecond}
)

// breakTimeout is the time after which an established flow counts as broken if a
// packet of it was not answered.
const breakTimeout = 15 * time.Second

// flow is one flow of a caller.
type flow struct {
	name    string
	key     hickorymodel.FlowKey
	section *section
	// incarnation counts the flows with the same key.
	incarnation int
	// via is the balancer to which the packets are sent; empty means any live one.
	via         string
	established bool
	closed      bool
	// broken is the cause that broke an established flow; empty if it is not broken.
	broken string
	// owner is the upstream that answered last; empty before the first answer.
	owner string
	// waitingFor is the number of the packet whose answer the caller waits for, -1 if
	// there is none.
	waitingFor int
	answers    int
	openedAt   hickorymodel.Instant
}

// sentPacket is one packet that a caller sent.
type sentPacket struct {
	number      int
	flow        *flow
	incarnation int
	first       bool
	closing     bool
	sentAt      hickorymodel.Instant
}

func (p *sentPacket) packet() hickoryflow.Packet {
	payload := binary.BigEndian.AppendUint32(nil, uint32(p.number))
	first := p.first && p.flow.key.Protocol == hickorymodel.ProtocolTCP
	return hickoryflow.Packet{Key: p.flow.key, First: first, Closing: p.closing, Payload: payload}
}

// sentPacketOf returns the record of a packet by the number in its payload.
func (sim *simulation) sentPacketOf(packet *hickoryflow.Packet) *sentPacket {
	return &sim.sent[binary.BigEndian.Uint32(packet.Payload)]
}

func (sim *simulation) newFlow(name string, protocol hickorymodel.Protocol, s *section, via string) *flow {
	f := &flow{name: name, section: s, via: via, key: hickorymodel.FlowKey{Protocol: protocol}}
	port := uint16(20000 + len(sim.flows))
	source := netip.AddrFrom4([4]byte{203, 0, 113, byte(sim.random.IntN(250))})
	f.key.Source = hickorymodel.NewSocketAddress(netip.AddrPortFrom(source, port))
	f.key.Destination = s.address()
	sim.flows = append(sim.flows, f)
	return f
}

func (s *section) address() hickorymodel.SocketAddress {
	return s.service.Addresses[0].Socket
}

// open sends the first packet of a flow and repeats it until it is answered.
func (sim *simulation) open(f *flow) {
	f.incarnation++
	f.openedAt = sim.now
	f.established, f.closed, f.broken, f.owner = false, false, "", ""
	sim.sendUntilAnswered(f, true, firstRetries)
}

// sendData sends one data packet of an established flow.
func (sim *simulation) sendData(f *flow) {
	if !f.closed && f.broken == "" && f.established {
		sim.sendUntilAnswered(f, false, dataRetries)
	}
}

// closeFlow closes a flow at the caller and sends its closing packet.
func (sim *simulation) closeFlow(f *flow) {
	f.closed = true
	sim.sendVia(f.via, sim.newPacket(f, false, true))
}

func (sim *simulation) newPacket(f *flow, first, closing bool) *sentPacket {
	sim.sent = append(sim.sent, sentPacket{
		number: len(sim.sent), flow: f, incarnation: f.incarnation, first: first, closing: closing, sentAt: sim.now,
	})
	return &sim.sent[len(sim.sent)-1]
}

// sendUntilAnswered sends a packet and repeats it until the upstream answers.
func (sim *simulation) sendUntilAnswered(f *flow, first bool, retries []time.Duration) {
	p := sim.newPacket(f, first, false)
	number, incarnation := p.number, f.incarnation
	f.waitingFor = number
	sim.sendVia(f.via, p)
	waiting := func() bool {
		return f.waitingFor == number && f.incarnation == incarnation && !f.closed && f.broken == ""
	}
	for _, retry := range retries {
		sim.after(retry, func() {
			if waiting() {
				sim.sendVia(f.via, &sim.sent[number])
			}
		})
	}
	sim.after(breakTimeout, func() {
		if waiting() && f.established {
			sim.breakFlow(f, "no answer")
		}
	})
}

// sendVia sends a packet to a balancer, or to a random live one if via is empty.
func (sim *simulation) sendVia(via string, p *sentPacket) {
	name := via
	if name == "" {
		name = sim.anyBalancer()
	}
	b, ok := sim.balancers[name]
	if !ok {
		return
	}
	number := p.number
	sim.transmit("packet", "caller", name, func() {
		b.receive(func() { sim.handleAtBalancer(b, &sim.sent[number]) })
	})
}

func (sim *simulation) anyBalancer() string {
	var live []string
	for _, name := range sim.names {
		if b, ok := sim.balancers[name]; ok && !b.dead {
			live = append(live, name)
		}
	}
	if len(live) == 0 {
		return ""
	}
	return live[sim.random.IntN(len(live))]
}

// breakFlow records that a flow is broken.
func (sim *simulation) breakFlow(f *flow, cause string) {
	if f.broken == "" {
		f.broken = cause
		a := sim.agents[f.owner]
		mayBreak := a == nil || a.dead || a.restartCount > 0 || f.openedAt.Before(a.zoneOutAt)
		sim.log.broken = append(sim.log.broken, brokenFlow{flow: f, owner: f.owner, cause: cause, mayBreak: mayBreak})
	}
}

// deliver simulates the upstream: it answers packets of open connections, opens a
// connection on a first packet (on any packet with UDP), and resets other flows.
func (sim *simulation) deliver(a *agent, p *sentPacket) {
	sim.log.deliver(sim, a, p)
	key := p.flow.key
	known := a.connections[key] == p.incarnation
	opens := key.Protocol == hickorymodel.ProtocolUDP || p.first
	switch {
	case known, opens && a.connections[key] < p.incarnation:
		a.connections[key] = p.incarnation
	default:
		if p.flow.incarnation == p.incarnation && !p.closing {
			sim.breakFlow(p.flow, "reset by "+a.name)
		}
		return
	}
	number := p.number
	sim.transmit("reply", a.name, "caller", func() { sim.receiveAnswer(a.name, &sim.sent[number]) })
}

// receiveAnswer handles an upstream's answer at the caller.
func (sim *simulation) receiveAnswer(from string, p *sentPacket) {
	f := p.flow
	if f.incarnation != p.incarnation || f.closed {
		return
	}
	if f.established && f.owner != from {
		sim.breakFlow(f, "moved from "+f.owner+" to "+from)
		return
	}
	f.owner = from
	f.answers++
	if f.waitingFor == p.number {
		f.waitingFor = -1
	}
	if !f.established {
		f.established = true
		sim.sendUntilAnswered(f, false, dataRetries)
	}
}
