package hickorygeneve

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// innerDecoder decodes the flow key and the TCP flags of an inner packet. It reuses
// its layers.
type innerDecoder struct {
	ip4           layers.IPv4
	ip6           layers.IPv6
	tcp           layers.TCP
	udp           layers.UDP
	payload       gopacket.Payload
	parser4       *gopacket.DecodingLayerParser
	parser6       *gopacket.DecodingLayerParser
	decodedLayers []gopacket.LayerType
}

func (d *innerDecoder) init() {
	d.parser4 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv4, &d.ip4, &d.tcp, &d.udp, &d.payload)
	d.parser6 = gopacket.NewDecodingLayerParser(layers.LayerTypeIPv6, &d.ip6, &d.tcp, &d.udp, &d.payload)
	d.parser4.IgnoreUnsupported = true
	d.parser6.IgnoreUnsupported = true
}

func (d *innerDecoder) decode(protocol layers.EthernetType, data []byte, p *hickoryflow.Packet) (hickorymessage.DropReason, bool) {
	var parser *gopacket.DecodingLayerParser
	switch protocol {
	case layers.EthernetTypeIPv4:
		parser = d.parser4
	case layers.EthernetTypeIPv6:
		parser = d.parser6
	default:
		return hickorymessage.DropReasonMalformed, false
	}
	if err := parser.DecodeLayers(data, &d.decodedLayers); err != nil {
		return hickorymessage.DropReasonMalformed, false
	}
	if len(d.decodedLayers) < 2 {
		return hickorymessage.DropReasonMalformed, false
	}
	p.Payload = data
	return d.setFlowFields(p)
}

// setFlowFields sets the flow key and the marks of first and closing packets. Fragments
// are refused, since those after the first carry no ports.
func (d *innerDecoder) setFlowFields(p *hickoryflow.Packet) (hickorymessage.DropReason, bool) {
	source, destination, ok := d.addresses()
	if !ok {
		return hickorymessage.DropReasonMalformed, false
	}
	switch d.decodedLayers[1] {
	case layers.LayerTypeTCP:
		p.Key = flowKey(hickorymodel.ProtocolTCP, source, destination, uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort))
		p.First = d.tcp.SYN && !d.tcp.ACK
		p.Closing = d.tcp.FIN || d.tcp.RST
	case layers.LayerTypeUDP:
		p.Key = flowKey(hickorymodel.ProtocolUDP, source, destination, uint16(d.udp.SrcPort), uint16(d.udp.DstPort))
	default:
		return hickorymessage.DropReasonMalformed, false
	}
	return "", true
}

func (d *innerDecoder) addresses() (netip.Addr, netip.Addr, bool) {
	if d.decodedLayers[0] == layers.LayerTypeIPv6 {
		return addresses(d.ip6.SrcIP, d.ip6.DstIP)
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return netip.Addr{}, netip.Addr{}, false
	}
	return addresses(d.ip4.SrcIP, d.ip4.DstIP)
}

func addresses(source, destination []byte) (netip.Addr, netip.Addr, bool) {
	from, ok := netip.AddrFromSlice(source)
	if !ok {
		return netip.Addr{}, netip.Addr{}, false
	}
	to, ok := netip.AddrFromSlice(destination)
	return from, to, ok
}

func flowKey(protocol hickorymodel.Protocol, source, destination netip.Addr, sourcePort, destinationPort uint16) hickorymodel.FlowKey {
	return hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.AddrPortFrom(source, sourcePort)),
		Destination: hickorymodel.NewSocketAddress(netip.AddrPortFrom(destination, destinationPort)),
		Protocol:    protocol,
	}
}

// innerProtocol returns the Geneve protocol type of an inner packet.
func innerProtocol(payload []byte) layers.EthernetType {
	const version6 = 6
	if len(payload) > 0 && payload[0]>>4 == version6 {
		return layers.EthernetTypeIPv6
	}
	return layers.EthernetTypeIPv4
}
