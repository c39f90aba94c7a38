package hickorygeneve_test

import (
	"bytes"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/schema/hickorymessage"
)

// FuzzDecodePlain guards against frames from the fabric that cause a panic or are
// dropped without a counted reason. The committed corpus is in testdata/fuzz.
func FuzzDecodePlain(f *testing.F) {
	addSeeds(f)
	codec := hickorygeneve.NewCodec()
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded hickorygeneve.Decoded
		reason, ok := codec.DecodePlain(data, &decoded)
		checkReason(t, reason, ok)
	})
}

// FuzzDecode guards against packets and control messages between balancers and
// agents that cause a panic or are dropped without a counted reason, in the codec or
// in the agent's decision about them, and against a packet that changes when it is
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	addSeeds(f)
	codec := hickorygeneve.NewCodec()
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded hickorygeneve.Decoded
		reason, ok := codec.Decode(data, &decoded)
		checkReason(t, reason, ok)
		if !ok {
			return
		}
		if decoded.Message == nil {
			checkRoundTrip(t, codec, &decoded.Packet)
		}
		checkDecision(t, &decoded)
	})
}

func checkReason(t *testing.T, reason hickorymessage.DropReason, ok bool) {
	if ok == (reason != "") {
		t.Fatalf("ok %t with reason %q", ok, reason)
	}
	if !ok && !slices.Contains(hickorymessage.DropReasons(), reason) {
		t.Fatalf("reason %q has no counter", reason)
	}
}

func checkRoundTrip(t *testing.T, codec *hickorygeneve.Codec, p *hickoryflow.Packet) {
	original := *p
	original.Payload = bytes.Clone(p.Payload)
	encoded, err := codec.EncodePacket(&original)
	if err != nil {
		t.Fatalf("encode decoded packet: %v", err)
	}
	var redecoded hickorygeneve.Decoded
	if reason, ok := hickorygeneve.NewCodec().Decode(bytes.Clone(encoded), &redecoded); !ok {
		t.Fatalf("decode encoded packet: %s", reason)
	}
	if redecoded.Packet.Header != original.Header || redecoded.Packet.Key != original.Key || !bytes.Equal(redecoded.Packet.Payload, original.Payload) {
		t.Fatalf("packet changed: %+v, was %+v", redecoded.Packet, original)
	}
}

// checkDecision passes the decoded packet or control message to the agent's tracker.
// For a packet the tracker must return an action for the packet, or a query when it
// holds the packet for a claim.
func checkDecision(t *testing.T, decoded *hickorygeneve.Decoded) {
	const now = hickorymodel.Instant(1e12)
	service := fuzzService(decoded.Packet.Key)
	tracker := hickoryflow.NewTracker(service.Upstreams[0].Endpoint, "a1", rand.New(rand.NewPCG(1, 1)))
	tracker.SetService(service, hickorytable.NewBuilder(now).Build(now, []hickorymodel.Service{service}))
	if decoded.Message != nil {
		tracker.HandleDatagram(now, service.Upstreams[1].Endpoint, decoded.Message)
		return
	}
	service.Number = decoded.Packet.Service
	tracker.SetService(service, nil)
	actions := tracker.Handle(now, &decoded.Packet)
	handlesPacket := func(a hickoryflow.Action) bool {
		return a.Datagram == nil || a.Datagram.OwnerQuery != nil
	}
	if !slices.ContainsFunc(actions, handlesPacket) {
		t.Fatal("the tracker returned no action for the packet")
	}
}

func fuzzService(key hickorymodel.FlowKey) hickorymodel.Service {
	return hickorymodel.Service{
		Number:    7,
		Addresses: []hickorymodel.ServiceAddress{{Socket: key.Destination, Protocol: key.Protocol}},
		Upstreams: []hickorymodel.Upstream{
			{ID: "a1", Zone: "z1", Endpoint: hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, 1}, Port: 6081}},
			{ID: "a2", Zone: "z2", Endpoint: hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, 2}, Port: 6081}},
		},
		Slots:       4,
		Connections: 8,
	}
}

// addSeeds adds well-formed frames, which the fuzzer truncates and mutates.
func addSeeds(f *testing.F) {
	for _, frame := range seedFrames(f) {
		f.Add(frame)
	}
}

func seedFrames(t testing.TB) [][]byte {
	codec := hickorygeneve.NewCodec()
	var frames [][]byte
	add := func(encoded []byte, err error) {
		if err != nil {
			t.Fatal(err)
		}
		frames = append(frames, bytes.Clone(encoded))
	}
	for _, payload := range [][]byte{innerPacket(t, false), innerPacket(t, true)} {
		add(codec.EncodePlain(7, payload))
		packet := hickoryflow.Packet{Header: seedHeader(), Payload: payload}
		add(codec.EncodePacket(&packet))
		packet.Hops = hickoryflow.MaxHops
		add(codec.EncodePacket(&packet))
	}
	key := hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.MustParseAddrPort("203.0.113.1:4000")),
		Destination: hickorymodel.NewSocketAddress(netip.MustParseAddrPort("192.0.2.1:80")),
		Protocol:    hickorymodel.ProtocolUDP,
	}
	add(codec.EncodeMessage(&hickorymessage.Datagram{OwnerQuery: &hickorymessage.OwnerQuery{Query: 1, Service: 7, Flow: key.Message()}}))
	add(codec.EncodeMessage(&hickorymessage.Datagram{OwnerReply: &hickorymessage.OwnerReply{Query: 1, Status: hickorymessage.OwnerStatusNone}}))
	add(codec.EncodeMessage(&hickorymessage.Datagram{RedirectEntry: &hickorymessage.RedirectEntry{
		Service: 7, Owner: "10.0.0.2:6081", Flows: []hickorymessage.Flow{key.Message()},
	}}))
	return frames
}

func seedHeader() hickoryflow.Header {
	header := hickoryflow.Header{Service: 7, Flags: hickoryflow.FlagTransition, Generation: 3, Hops: 1}
	for i := range 2 {
		header.Candidates[i] = hickorymodel.Candidate{
			Endpoint: hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, byte(i + 1)}, Port: 6081},
			State:    hickorymodel.CandidateAccepting,
		}
	}
	return header
}

func innerPacket(t testing.TB, udp bool) []byte {
	ip := &layers.IPv4{Version: 4, TTL: 64, SrcIP: []byte{203, 0, 113, 1}, DstIP: []byte{192, 0, 2, 1}, Protocol: layers.IPProtocolTCP}
	var transport gopacket.SerializableLayer = &layers.TCP{SrcPort: 4000, DstPort: 80, SYN: true}
	if udp {
		ip.Protocol = layers.IPProtocolUDP
		transport = &layers.UDP{SrcPort: 4000, DstPort: 80}
	}
	buffer := gopacket.NewSerializeBuffer()
	err := gopacket.SerializeLayers(buffer, gopacket.SerializeOptions{FixLengths: true}, ip, transport, gopacket.Payload("hello"))
	if err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}
