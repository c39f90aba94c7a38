package hickorybalancer_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// standinAgent is a stand-in (test double) for an agent that answers probes, and for
// a device on the path to it. It drops the datagrams from blocked source ports, as
// such a device does when it has lost its state for one flow.
type standinAgent struct {
	socket   *net.UDPConn
	upstream hickoryid.UpstreamID
	// sourcePorts receives the source port of each packet that is not dropped.
	sourcePorts chan uint16

	mutex       sync.Mutex
	blocked     map[uint16]bool
	dead        bool
	packetCount int
}

// startStandinAgent runs a stand-in until the end of the test.
func startStandinAgent(t *testing.T, upstream hickoryid.UpstreamID) *standinAgent {
	is := is.New(t)
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	a := &standinAgent{socket: conn, upstream: upstream, sourcePorts: make(chan uint16, 1024), blocked: map[uint16]bool{}}
	ended := make(chan error, 1)
	go func(_ context.Context) { ended <- a.serve() }(t.Context())
	t.Cleanup(func() {
		conn.Close()
		<-ended
	})
	return a
}

func (a *standinAgent) endpoint() hickorymodel.Endpoint {
	endpoint, _ := hickorymodel.NewEndpoint(a.socket.LocalAddr().(*net.UDPAddr).AddrPort())
	return endpoint
}

func (a *standinAgent) block(port uint16) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.blocked[port] = true
}

func (a *standinAgent) setDead(dead bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.dead = dead
}

// arrivals returns the number of packets that were sent to the agent, including those
// that were dropped.
func (a *standinAgent) arrivals() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.packetCount
}

// receive counts a packet and reports whether a datagram from a source port is
// handled, not dropped.
func (a *standinAgent) receive(port uint16, isPacket bool) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if isPacket {
		a.packetCount++
	}
	return !a.dead && !a.blocked[port]
}

func (a *standinAgent) serve() error {
	codec := hickorygeneve.NewCodec()
	buffer := make([]byte, 2048)
	var decoded hickorygeneve.Decoded
	for {
		n, from, err := a.socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
		}
		if _, ok := codec.Decode(buffer[:n], &decoded); !ok || !a.receive(from.Port(), decoded.Message == nil) {
			continue
		}
		if decoded.Message == nil {
			a.addSourcePort(from.Port())
		} else if probe := decoded.Message.Probe; probe != nil {
			a.sendProbeReply(codec, from, probe.Sequence)
		}
	}
}

// addSourcePort records the source port of a packet unless sourcePorts is full.
func (a *standinAgent) addSourcePort(port uint16) {
	select {
	case a.sourcePorts <- port:
	default:
	}
}

func (a *standinAgent) sendProbeReply(codec *hickorygeneve.Codec, to netip.AddrPort, sequence int) {
	encoded, err := codec.EncodeMessage(&hickorymessage.Datagram{ProbeReply: &hickorymessage.ProbeReply{
		Sequence:  sequence,
		Upstream:  a.upstream,
		Accepting: true,
	}})
	if err == nil {
		a.socket.WriteToUDPAddrPort(encoded, to)
	}
}
