package main

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"net"
)

const (
	headerSize = 31
	maxData    = 1200

	flagSYN     = 2
	flagACK     = 4
	flagFIN     = 32
	flagRST     = 64
	flagBounced = 8
)

// sumKey is the key of the checksum that clients and hosts share.
const sumKey = "review"

// address is an IPv4 address and a port.
type address struct {
	ip   [4]byte
	port uint16
}

func (a address) String() string {
	return fmt.Sprintf("%s:%d", net.IP(a.ip[:]), a.port)
}

// flowKey names a flow from the client's end.
type flowKey struct {
	client address
	route  address
}

// packet is one datagram of a flow.
type packet struct {
	echo     uint32
	seq, ack uint32
	dst, src address
	flags    byte
	sum      uint32
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.echo)
	binary.BigEndian.PutUint32(b[4:], p.seq)
	binary.BigEndian.PutUint32(b[8:], p.ack)
	copy(b[12:], p.dst.ip[:])
	binary.BigEndian.PutUint16(b[16:], p.dst.port)
	copy(b[18:], p.src.ip[:])
	binary.BigEndian.PutUint16(b[22:], p.src.port)
	b[24] = p.flags
	binary.BigEndian.PutUint16(b[25:], uint16(len(p.data)))
	copy(b[headerSize:], p.data)
	binary.BigEndian.PutUint32(b[27:], checksum(b))
	return b
}

// checksum covers all fields but echo and flagBounced. It is never 0, which marks a
// reset of the load balancer.
func checksum(b []byte) uint32 {
	h := crc32.NewIEEE()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b[4:24])
	_, _ = h.Write([]byte{b[24] &^ flagBounced})
	_, _ = h.Write(b[25:27])
	_, _ = h.Write(b[headerSize:])
	return h.Sum32() | 1
}

// decode parses a datagram. It reports false for bytes that are no packet.
func decode(b []byte) (*packet, bool) {
	if len(b) < headerSize || int(binary.BigEndian.Uint16(b[25:])) != len(b)-headerSize {
		return nil, false
	}
	p := &packet{
		echo:  binary.BigEndian.Uint32(b[0:]),
		seq:   binary.BigEndian.Uint32(b[4:]),
		ack:   binary.BigEndian.Uint32(b[8:]),
		dst:   address{ip: [4]byte(b[12:16]), port: binary.BigEndian.Uint16(b[16:])},
		src:   address{ip: [4]byte(b[18:22]), port: binary.BigEndian.Uint16(b[22:])},
		flags: b[24],
		sum:   binary.BigEndian.Uint32(b[27:]),
		data:  append([]byte(nil), b[headerSize:]...),
	}
	return p, true
}

// intact reports whether the checksum of an encoded packet is that of its sender.
func intact(b []byte) bool {
	return binary.BigEndian.Uint32(b[27:]) == checksum(b)
}
