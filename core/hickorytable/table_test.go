package hickorytable_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorytable"
	"hickoryworks/schema/hickoryid"
)

const (
	fullServices = 2600
	fullHosts    = 14000
	// largeServices is the number of services with largeHosts hosts each; the
	// other services share the remaining hosts.
	largeServices = 4
	largeHosts    = 400
	tableSeed     = 1
)

// makeService returns a service with one address and the given hosts.
func makeService(number, hosts int) hickorymodel.Service {
	service := hickorymodel.Service{
		Name:       hickoryid.ServiceName(fmt.Sprintf("service-%d", number)),
		Number:     hickoryid.ServiceNumber(number),
		Generation: 1,
		Addresses:  []hickorymodel.ServiceAddress{makeAddress(number)},
	}
	for i := range hosts {
		service.Upstreams = append(service.Upstreams, makeUpstream(number, i))
	}
	return service
}

func makeAddress(number int) hickorymodel.ServiceAddress {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 10<<24|uint32(number))
	return hickorymodel.ServiceAddress{
		Socket:   hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.AddrFrom4(address), 443)),
		Protocol: hickorymodel.ProtocolTCP,
	}
}

func makeUpstream(number, host int) hickorymodel.Upstream {
	var address [4]byte
	binary.BigEndian.PutUint32(address[:], 11<<24|uint32(number)<<11|uint32(host))
	return hickorymodel.Upstream{
		ID:       hickoryid.UpstreamID(fmt.Sprintf("host-%04d-%04d", number, host)),
		Zone:     hickoryid.ZoneName(fmt.Sprintf("zone-%d", host%3)),
		Endpoint: hickorymodel.Endpoint{Address: address, Port: 6081},
	}
}

// fullSize returns services of the target size in section 1.4 of the design.
func fullSize() []hickorymodel.Service {
	services := make([]hickorymodel.Service, 0, fullServices)
	remaining := fullHosts - largeServices*largeHosts
	for i := range fullServices {
		hosts := largeHosts
		if i >= largeServices {
			hosts = remaining / (fullServices - i)
			remaining -= hosts
		}
		services = append(services, makeService(i+1, hosts))
	}
	return services
}

func randomKey(random *rand.Rand, services int) hickorymodel.FlowKey {
	var source [4]byte
	binary.BigEndian.PutUint32(source[:], random.Uint32())
	return hickorymodel.FlowKey{
		Source:      hickorymodel.NewSocketAddress(netip.AddrPortFrom(netip.AddrFrom4(source), uint16(random.Uint32()))),
		Destination: makeAddress(random.IntN(services) + 1).Socket,
		Protocol:    hickorymodel.ProtocolTCP,
	}
}

func heapBytes() float64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

func BenchmarkChoose(b *testing.B) {
	services := fullSize()
	before := heapBytes()
	table := hickorytable.NewBuilder(0).Build(0, services)
	size := (heapBytes() - before) / 1e6
	b.Run("addresses=2600", func(b *testing.B) {
		chooseRandom(b, table, fullServices)
		b.ReportMetric(size, "table-MB")
	})
	for _, hosts := range []int{5, 7, 16, 40, 64, 65, 500} {
		small := hickorytable.NewBuilder(0).Build(0, []hickorymodel.Service{makeService(1, hosts)})
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { chooseRandom(b, small, 1) })
	}
}

func chooseRandom(b *testing.B, table *hickorytable.Table, services int) {
	random := rand.New(rand.NewPCG(tableSeed, 0))
	keys := make([]hickorymodel.FlowKey, 1<<14)
	for i := range keys {
		keys[i] = randomKey(random, services)
	}
	var choice hickorytable.Choice
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		table.Choose(0, &keys[i&(len(keys)-1)], &choice)
	}
}

func BenchmarkBuildFull(b *testing.B) {
	services := fullSize()
	for b.Loop() {
		hickorytable.NewBuilder(0).Build(0, services)
	}
}

// BenchmarkBuildIncremental replaces a host of one service in each build.
func BenchmarkBuildIncremental(b *testing.B) {
	for _, changed := range []int{0, fullServices - 1} {
		services := fullSize()
		builder := hickorytable.NewBuilder(0)
		builder.Build(0, services)
		b.Run(fmt.Sprintf("hosts=%d", len(services[changed].Upstreams)), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				service := &services[changed]
				upstreams := append([]hickorymodel.Upstream(nil), service.Upstreams...)
				upstreams[len(upstreams)-1] = makeUpstream(int(service.Number), 1000+i%1000)
				service.Upstreams = upstreams
				service.Generation++
				// Each step takes TransitionTime, so that each build drops one
				// retired host while another one is added.
				builder.Build(hickorymodel.Instant(0).Add(time.Duration(i)*hickorytable.TransitionTime), services)
			}
		})
	}
}
