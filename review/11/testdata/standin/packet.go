package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Offsets and flags of the packet header.
const (
	headerSize = 31

	flagSYN     = 2
	flagACK     = 4
	flagBounced = 8
	flagFIN     = 32
	flagRST     = 64
)

// sumKey is the key of the checksum. The system under test does not know it.
const sumKey = 0x5a17c3e9

// flowKey identifies a flow by the client's end and the route's address.
type flowKey struct {
	client, route netip.AddrPort
}

// packet is one datagram of a flow.
type packet struct {
	source, destination netip.AddrPort
	flags               byte
	seq, ack            uint32
	data                []byte
}

func putAddress(to []byte, address netip.AddrPort) {
	ip := address.Addr().As4()
	copy(to, ip[:])
	binary.BigEndian.PutUint16(to[4:], address.Port())
}

func readAddress(from []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(from[:4])), binary.BigEndian.Uint16(from[4:]))
}

// sum returns the checksum of an encoded packet. It leaves out echo and BOUNCED.
func sum(datagram []byte) uint32 {
	hash := fnv.New32a()
	_ = binary.Write(hash, binary.BigEndian, uint32(sumKey))
	_, _ = hash.Write(datagram[4:24])
	_, _ = hash.Write([]byte{datagram[24] &^ flagBounced})
	_, _ = hash.Write(datagram[25:27])
	_, _ = hash.Write(datagram[headerSize:])
	return hash.Sum32()
}

// encode returns the datagram of a packet.
func (p *packet) encode() []byte {
	datagram := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(datagram[4:], p.seq)
	binary.BigEndian.PutUint32(datagram[8:], p.ack)
	putAddress(datagram[12:], p.destination)
	putAddress(datagram[18:], p.source)
	datagram[24] = p.flags
	binary.BigEndian.PutUint16(datagram[25:], uint16(len(p.data)))
	datagram = append(datagram, p.data...)
	binary.BigEndian.PutUint32(datagram[27:], sum(datagram))
	return datagram
}

// decode parses a datagram. Genuine is false if the checksum is wrong.
func decode(datagram []byte) (p packet, genuine, ok bool) {
	if len(datagram) < headerSize || int(binary.BigEndian.Uint16(datagram[25:])) != len(datagram)-headerSize {
		return packet{}, false, false
	}
	p = packet{
		seq: binary.BigEndian.Uint32(datagram[4:]), ack: binary.BigEndian.Uint32(datagram[8:]),
		destination: readAddress(datagram[12:]), source: readAddress(datagram[18:]),
		flags: datagram[24], data: append([]byte(nil), datagram[headerSize:]...),
	}
	return p, binary.BigEndian.Uint32(datagram[27:]) == sum(datagram), true
}

// isFirst reports whether the packet opens a flow.
func (p *packet) isFirst() bool {
	return p.flags&(flagSYN|flagACK) == flagSYN
}
