package hickorystandin

import (
	"net"
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"
)

// Segment is one TCP or UDP packet between a caller and an upstream.
type Segment struct {
	Source      netip.AddrPort
	Destination netip.AddrPort
	UDP         bool
	SYN         bool
	ACK         bool
	FIN         bool
	RST         bool
	Payload     []byte
}

const ipTimeToLive = 64

// Encode returns the segment as an IPv4 packet.
func (s *Segment) Encode() ([]byte, error) {
	ip := &layers.IPv4{
		Version:  4,
		TTL:      ipTimeToLive,
		Protocol: layers.IPProtocolTCP,
		SrcIP:    net.IP(s.Source.Addr().AsSlice()),
		DstIP:    net.IP(s.Destination.Addr().AsSlice()),
	}
	buffer := gopacket.NewSerializeBuffer()
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	err := gopacket.SerializeLayers(buffer, options, ip, s.transport(ip), gopacket.Payload(s.Payload))
	return buffer.Bytes(), errors.Wrap(err, "encode segment")
}

func (s *Segment) transport(ip *layers.IPv4) gopacket.SerializableLayer {
	if s.UDP {
		ip.Protocol = layers.IPProtocolUDP
		udp := &layers.UDP{
			SrcPort: layers.UDPPort(s.Source.Port()),
			DstPort: layers.UDPPort(s.Destination.Port()),
		}
		_ = udp.SetNetworkLayerForChecksum(ip)
		return udp
	}
	tcp := &layers.TCP{
		SrcPort: layers.TCPPort(s.Source.Port()),
		DstPort: layers.TCPPort(s.Destination.Port()),
		SYN:     s.SYN,
		ACK:     s.ACK,
		FIN:     s.FIN,
		RST:     s.RST,
		Window:  65535,
	}
	_ = tcp.SetNetworkLayerForChecksum(ip)
	return tcp
}

// DecodeSegment decodes an IPv4 packet. It returns an error for other packets and
// for transports other than TCP and UDP.
func DecodeSegment(data []byte) (Segment, error) {
	packet := gopacket.NewPacket(data, layers.LayerTypeIPv4, gopacket.NoCopy)
	ip, ok := packet.NetworkLayer().(*layers.IPv4)
	if !ok {
		return Segment{}, errors.New("decode segment: not an IPv4 packet")
	}
	source, _ := netip.AddrFromSlice(ip.SrcIP)
	destination, _ := netip.AddrFromSlice(ip.DstIP)
	switch transport := packet.TransportLayer().(type) {
	case *layers.TCP:
		return Segment{
			Source:      netip.AddrPortFrom(source, uint16(transport.SrcPort)),
			Destination: netip.AddrPortFrom(destination, uint16(transport.DstPort)),
			SYN:         transport.SYN,
			ACK:         transport.ACK,
			FIN:         transport.FIN,
			RST:         transport.RST,
			Payload:     transport.Payload,
		}, nil
	case *layers.UDP:
		return Segment{
			Source:      netip.AddrPortFrom(source, uint16(transport.SrcPort)),
			Destination: netip.AddrPortFrom(destination, uint16(transport.DstPort)),
			UDP:         true,
			Payload:     transport.Payload,
		}, nil
	default:
		return Segment{}, errors.New("decode segment: neither TCP nor UDP")
	}
}
