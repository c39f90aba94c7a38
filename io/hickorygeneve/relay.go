package hickorygeneve

import (
	"github.com/gopacket/gopacket/layers"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryoption"
)

// etherTypeRelayed is the protocol type of a relayed datagram. It is reserved for local
// experiments.
const etherTypeRelayed layers.EthernetType = 0x88b6

// originOptionType is the type of the option that carries the endpoint.
const originOptionType = 2

// EncodeRelayed encodes a datagram that the predecessor and the successor of a planned
// restart relay to each other. It adds the endpoint that sent the datagram, or the one
// that is to receive it. The result is valid until the next call of an encoding method.
func (c *Codec) EncodeRelayed(endpoint hickorymodel.Endpoint, datagram []byte) ([]byte, error) {
	origin := hickoryoption.Origin{Address: endpoint.Address, Port: endpoint.Port}
	data := make([]byte, hickoryoption.OriginSize)
	origin.Put(data)
	geneve := layers.Geneve{
		Protocol:  etherTypeRelayed,
		OAMPacket: true,
		Options:   []*layers.GeneveOption{{Class: optionClass, Type: originOptionType, Data: data}},
	}
	return c.serialize(&geneve, datagram)
}

// DecodeRelayed returns the endpoint and the datagram that EncodeRelayed encoded, or
// false for any other data. The datagram shares the memory of data.
func (c *Codec) DecodeRelayed(data []byte) (hickorymodel.Endpoint, []byte, bool) {
	if _, ok := c.decodeGeneve(data); !ok || c.geneve.Protocol != etherTypeRelayed || len(c.geneve.Options) != 1 {
		return hickorymodel.Endpoint{}, nil, false
	}
	option := c.geneve.Options[0]
	var origin hickoryoption.Origin
	if option.Class != optionClass || option.Type != originOptionType || !origin.Get(option.Data) {
		return hickorymodel.Endpoint{}, nil, false
	}
	return hickorymodel.Endpoint{Address: origin.Address, Port: origin.Port}, c.geneve.Payload, true
}
