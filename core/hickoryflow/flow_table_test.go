package hickoryflow

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"syscall"
	"testing"

	"hickoryworks/core/hickorymodel"
)

const benchmarkFlows = 500000

func tableKey(number uint32) hickorymodel.FlowKey {
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], 10<<24|number>>12)
	return hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.AddrFrom4(source), uint16(number&0xfff)+1024)),
		Destination: hickorymodel.NewSocketAddress(netip.MustParseAddrPort("10.1.0.1:443")),
		Protocol:    hickorymodel.ProtocolTCP,
	}
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// cpuTime returns the processor time of this process in nanoseconds. Unlike
// wall-clock time it does not grow while other processes run.
func cpuTime() int64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return usage.Utime.Nano() + usage.Stime.Nano()
}

func BenchmarkFlowTable(b *testing.B) {
	keys := make([]hickorymodel.FlowKey, benchmarkFlows)
	for i, number := range rand.New(rand.NewPCG(1, 0)).Perm(benchmarkFlows) {
		keys[i] = tableKey(uint32(number))
	}
	before := heapBytes()
	table := newFlowTable(benchmarkFlows)
	for i := range uint32(benchmarkFlows) {
		table.insert(record{key: tableKey(i), state: flowEstablished})
	}
	size := (heapBytes() - before) / benchmarkFlows
	b.Run("known", func(b *testing.B) {
		b.ReportAllocs()
		start := cpuTime()
		for i := range b.N {
			// The tracker writes to the record of each packet.
			table.find(&keys[i%benchmarkFlows]).lastSeen = hickorymodel.Instant(i)
		}
		b.ReportMetric(float64(cpuTime()-start)/float64(b.N), "cpu-ns/op")
		b.ReportMetric(size, "bytes/flow")
	})
	b.Run("unknown", func(b *testing.B) {
		b.ReportAllocs()
		for i := range b.N {
			key := keys[i%benchmarkFlows]
			key.Destination.Port = 80
			if table.find(&key) != nil {
				b.Fatal("unknown flow found")
			}
		}
	})
}
