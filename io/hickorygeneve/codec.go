package hickorygeneve

import (
	"encoding/json"
	"math"
	"time"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"github.com/pkg/errors"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryoption"
)

const (
	// optionClass is in the range that RFC 8926 reserves for experiments.
	optionClass   = 0xff01
	optionType    = 1
	optionVersion = 1
	// headerBytes is the size of the fixed Geneve header.
	headerBytes = 8
	// maxOptionBytes is the maximum length of the options of a packet. From 248
	// bytes on, the 8-bit offset of the decoding library overflows.
	maxOptionBytes = 124
	// etherTypeMessage is the protocol type of control messages. It is reserved for
	// local experiments.
	etherTypeMessage layers.EthernetType = 0x88b5
)

// Codec encodes and decodes datagrams. It reuses its buffers and is not safe for
// concurrent use.
type Codec struct {
	geneve layers.Geneve
	inner  innerDecoder
	buffer gopacket.SerializeBuffer
	option [hickoryoption.OptionSize]byte
}

// NewCodec returns a codec.
func NewCodec() *Codec {
	c := &Codec{buffer: gopacket.NewSerializeBuffer()}
	c.inner.init()
	return c
}

// Decoded is the content of one datagram: either a packet of a flow or a control
// message.
type Decoded struct {
	Packet hickoryflow.Packet
	// Message is nil for a packet.
	Message *hickorymessage.Datagram
}

// DecodePlain decodes a packet as the fabric and the upstreams send it, without the
// option that balancers and agents add (hickoryoption.Option), or a control message.
// It ignores options. On failure it returns the reason under which the drop is
// counted, and false. The decoded packet shares the memory of data.
func (c *Codec) DecodePlain(data []byte, decoded *Decoded) (hickorymessage.DropReason, bool) {
	if reason, ok := c.decodeGeneve(data); !ok {
		return reason, false
	}
	if c.geneve.Protocol == etherTypeMessage {
		return c.decodeMessage(decoded)
	}
	decoded.Message = nil
	decoded.Packet = hickoryflow.Packet{}
	decoded.Packet.Service = hickoryid.ServiceNumber(c.geneve.VNI)
	return c.inner.decode(c.geneve.Protocol, c.geneve.Payload, &decoded.Packet)
}

// Decode decodes a packet with the option that balancers and agents add, or a control
// message. It returns the same values as DecodePlain.
func (c *Codec) Decode(data []byte, decoded *Decoded) (hickorymessage.DropReason, bool) {
	if reason, ok := c.DecodePlain(data, decoded); !ok {
		return reason, false
	}
	if decoded.Message != nil {
		return "", true
	}
	return c.decodeOption(&decoded.Packet.Header)
}

func (c *Codec) decodeGeneve(data []byte) (hickorymessage.DropReason, bool) {
	if len(data) < headerBytes {
		return hickorymessage.DropReasonTruncated, false
	}
	if int(data[0]&0x3f)*4 > maxOptionBytes {
		return hickorymessage.DropReasonForeignOption, false
	}
	if err := c.geneve.DecodeFromBytes(data, gopacket.NilDecodeFeedback); err != nil {
		return hickorymessage.DropReasonTruncated, false
	}
	if c.geneve.Version != 0 {
		return hickorymessage.DropReasonUnsupportedVersion, false
	}
	return "", true
}

func (c *Codec) decodeMessage(decoded *Decoded) (hickorymessage.DropReason, bool) {
	decoded.Message = &hickorymessage.Datagram{}
	if err := json.Unmarshal(c.geneve.Payload, decoded.Message); err != nil {
		return hickorymessage.DropReasonMalformed, false
	}
	if !decoded.Message.IsValid() {
		return hickorymessage.DropReasonMalformed, false
	}
	return "", true
}

func (c *Codec) decodeOption(header *hickoryflow.Header) (hickorymessage.DropReason, bool) {
	if len(c.geneve.Options) != 1 {
		return hickorymessage.DropReasonForeignOption, false
	}
	option := c.geneve.Options[0]
	if option.Class != optionClass || option.Type != optionType {
		return hickorymessage.DropReasonForeignOption, false
	}
	var content hickoryoption.Option
	if !content.Get(option.Data) {
		return hickorymessage.DropReasonTruncated, false
	}
	if content.Version != optionVersion {
		return hickorymessage.DropReasonUnsupportedVersion, false
	}
	if !fromOption(&content, header) {
		return hickorymessage.DropReasonMalformed, false
	}
	return "", true
}

// EncodePacket encodes a packet with its header as the option. The result is valid
// until the next call of an encoding method.
func (c *Codec) EncodePacket(p *hickoryflow.Packet) ([]byte, error) {
	content := toOption(&p.Header)
	content.Put(c.option[:])
	geneve := layers.Geneve{
		Protocol: innerProtocol(p.Payload),
		VNI:      uint32(p.Service),
		Options: []*layers.GeneveOption{{
			Class: optionClass,
			Type:  optionType,
			Data:  c.option[:],
		}},
	}
	return c.serialize(&geneve, p.Payload)
}

// EncodePlain encodes an inner packet without the option. The result is valid until
// the next call of an encoding method.
func (c *Codec) EncodePlain(service hickoryid.ServiceNumber, payload []byte) ([]byte, error) {
	geneve := layers.Geneve{Protocol: innerProtocol(payload), VNI: uint32(service)}
	return c.serialize(&geneve, payload)
}

// EncodeMessage encodes a control message. The result is valid until the next call of
// an encoding method.
func (c *Codec) EncodeMessage(message *hickorymessage.Datagram) ([]byte, error) {
	payload, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode control message")
	}
	geneve := layers.Geneve{Protocol: etherTypeMessage, OAMPacket: true}
	return c.serialize(&geneve, payload)
}

func (c *Codec) serialize(geneve *layers.Geneve, payload []byte) ([]byte, error) {
	options := gopacket.SerializeOptions{FixLengths: true}
	if err := gopacket.SerializeLayers(c.buffer, options, geneve, gopacket.Payload(payload)); err != nil {
		return nil, errors.Wrap(err, "encode packet")
	}
	return c.buffer.Bytes(), nil
}

func toOption(header *hickoryflow.Header) hickoryoption.Option {
	option := hickoryoption.Option{
		Version:    optionVersion,
		Flags:      uint8(header.Flags),
		Position:   uint8(header.Position),
		Hops:       uint8(header.Hops),
		OfferLoad:  uint32(header.OfferLoad),
		Certainty:  uint32(min(header.Certainty.Milliseconds(), math.MaxUint32)),
		Generation: uint64(header.Generation),
	}
	for i := range header.Candidates {
		candidate := &header.Candidates[i]
		option.Candidates[i] = hickoryoption.Candidate{
			Address: candidate.Endpoint.Address,
			Port:    candidate.Endpoint.Port,
			State:   uint8(candidate.State),
		}
	}
	return option
}

// fromOption sets the header from a decoded option. It reports false when the
// candidate list is empty or has gaps, unknown states or a port of 0, or when the
// position is outside the list.
func fromOption(option *hickoryoption.Option, header *hickoryflow.Header) bool {
	header.Flags = hickoryflow.Flags(option.Flags)
	header.Position = int(option.Position)
	header.Hops = int(option.Hops)
	header.OfferLoad = int(option.OfferLoad)
	header.Certainty = time.Duration(option.Certainty) * time.Millisecond
	header.Generation = hickorymodel.Generation(option.Generation)
	used := 0
	for i := range option.Candidates {
		candidate := &option.Candidates[i]
		state := hickorymodel.CandidateState(candidate.State)
		if state == hickorymodel.CandidateNone {
			continue
		}
		if state > hickorymodel.CandidateSuspected || used != i || candidate.Port == 0 {
			return false
		}
		header.Candidates[i] = hickorymodel.Candidate{
			Endpoint: hickorymodel.Endpoint{Address: candidate.Address, Port: candidate.Port},
			State:    state,
		}
		used++
	}
	return used > 0 && header.Position < used
}
