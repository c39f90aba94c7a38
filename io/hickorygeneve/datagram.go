package hickorygeneve

import (
	"net"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

// timeToLive is the initial TTL or hop limit of encoded IP packets.
const timeToLive = 64

// EncodeDatagram encodes a UDP datagram as an inner packet without the option of
// balancers and agents. The result is valid until the next call of an encoding method.
func (c *Codec) EncodeDatagram(service hickoryid.ServiceNumber, source, destination hickorymodel.SocketAddress, payload []byte) ([]byte, error) {
	from := source.AddrPort()
	to := destination.AddrPort()
	udp := &layers.UDP{SrcPort: layers.UDPPort(from.Port()), DstPort: layers.UDPPort(to.Port())}
	geneve := &layers.Geneve{VNI: uint32(service), Protocol: layers.EthernetTypeIPv4}
	var ip gopacket.SerializableLayer
	if from.Addr().Is4() {
		header := &layers.IPv4{
			Version:  4,
			TTL:      timeToLive,
			Protocol: layers.IPProtocolUDP,
			SrcIP:    net.IP(from.Addr().AsSlice()),
			DstIP:    net.IP(to.Addr().AsSlice()),
		}
		_ = udp.SetNetworkLayerForChecksum(header)
		ip = header
	} else {
		header := &layers.IPv6{
			Version:    6,
			HopLimit:   timeToLive,
			NextHeader: layers.IPProtocolUDP,
			SrcIP:      net.IP(from.Addr().AsSlice()),
			DstIP:      net.IP(to.Addr().AsSlice()),
		}
		_ = udp.SetNetworkLayerForChecksum(header)
		geneve.Protocol = layers.EthernetTypeIPv6
		ip = header
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	if err := gopacket.SerializeLayers(c.buffer, options, geneve, ip, udp, gopacket.Payload(payload)); err != nil {
		return nil, errors.Wrap(err, "encode datagram")
	}
	return c.buffer.Bytes(), nil
}

// UDPPayload returns the UDP payload of an inner packet, or false when the packet does
// not carry UDP.
func UDPPayload(packet []byte) ([]byte, bool) {
	first := layers.LayerTypeIPv4
	if innerProtocol(packet) == layers.EthernetTypeIPv6 {
		first = layers.LayerTypeIPv6
	}
	decoded := gopacket.NewPacket(packet, first, gopacket.NoCopy)
	udp, ok := decoded.TransportLayer().(*layers.UDP)
	if !ok {
		return nil, false
	}
	return udp.Payload, true
}
