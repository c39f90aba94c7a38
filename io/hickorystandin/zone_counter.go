package hickorystandin

import (
	"time"

	"hickoryworks/schema/hickoryid"
)

// geneveFlagsOffset and geneveControlFlag locate the O bit of the Geneve header
// (RFC 8926), which marks control messages.
const (
	geneveFlagsOffset = 1
	geneveControlFlag = 0x80
)

// zoneCounter counts the datagrams that arrive at the sockets of one zone.
type zoneCounter struct {
	startedAt time.Time
	// late is the time after which datagrams count as late.
	late   time.Time
	counts ZoneCounts
}

// ZoneCounts are the datagrams that arrived in a zone since StartZoneCount.
type ZoneCounts struct {
	// DataPackets and ControlMessages count datagrams that arrived before the
	// limit; LateDataPackets and LateControlMessages those after it.
	DataPackets         int
	ControlMessages     int
	LateDataPackets     int
	LateControlMessages int
	// LastDataPacket is the time from StartZoneCount to the last datagram that
	// was not a control message.
	LastDataPacket time.Duration
}

func (b *zoneCounter) count(now time.Time, bytes []byte) {
	control := len(bytes) > geneveFlagsOffset && bytes[geneveFlagsOffset]&geneveControlFlag != 0
	late := now.After(b.late)
	switch {
	case control && late:
		b.counts.LateControlMessages++
	case control:
		b.counts.ControlMessages++
	case late:
		b.counts.LateDataPackets++
	default:
		b.counts.DataPackets++
	}
	if !control {
		b.counts.LastDataPacket = now.Sub(b.startedAt)
	}
}

// StartZoneCount starts counting the datagrams that arrive in a zone. Those that
// arrive after the limit, counted from now, are counted as late.
func (n *Network) StartZoneCount(zone hickoryid.ZoneName, limit time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
	n.zoneCounters[zone] = &zoneCounter{startedAt: now, late: now.Add(limit)}
}

// EndZoneCount stops counting in a zone and returns the counts, which are zero
// if no count was started.
func (n *Network) EndZoneCount(zone hickoryid.ZoneName) ZoneCounts {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	counter := n.zoneCounters[zone]
	delete(n.zoneCounters, zone)
	if counter == nil {
		return ZoneCounts{}
	}
	return counter.counts
}
