package hickoryconfig_test

import (
	"bytes"
	"compress/gzip"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
)

const (
	// spreadServices and spreadUpstreams are the size of a section at the target:
	// 2,600 services and 14,000 upstreams in 260 sections.
	spreadServices  = 10
	spreadUpstreams = 50
	spreadSeeds     = 5
	spreadLoss      = 0.01
	// spreadLimit ends a run in which a version does not reach all nodes.
	spreadLimit = 20 * time.Second
	// fullBalancers is the number of balancers at the target size.
	fullBalancers   = 2_500
	regionBalancers = 833
	regionZones     = 4
)

var spreadSizes = []int{50, 100, 200}

// relayMode is one way to send a version to all nodes.
type relayMode struct {
	name      string
	upstreams int
	without   hickoryconfig.Rule
	options   []hickoryconfig.NodeOption
}

var relayModes = []relayMode{
	{"push only", spreadUpstreams, hickoryconfig.RuleExchange, nil},
	{"exchange only", spreadUpstreams, 0, []hickoryconfig.NodeOption{hickoryconfig.WithPushFanout(0)}},
	{"both", spreadUpstreams, 0, nil},
	{"both, 10x", 10 * spreadUpstreams, 0, nil},
}

// largeSection returns the content of a section of the target size, packed as for
// messages, and registers it with the fleet.
func (f *fleet) largeSection(upstreams int) string {
	section := hickorydocument.Section{Team: team}
	for _, zone := range []hickoryid.ZoneName{"tt-north-a", "tt-north-b", "tt-north-c"} {
		section.Zones = append(section.Zones, hickorydocument.Zone{Name: zone, Region: "tt-north", State: hickorydocument.ZoneStateInService})
	}
	for i := range spreadServices {
		service := hickorydocument.Service{
			Name: hickoryid.ServiceName(fmt.Sprintf("service-%d", i)), Number: hickoryid.ServiceNumber(i + 1),
			Slots: 6, Connections: 2000, RampTime: "20s", OpeningTimeout: "2s",
			Addresses: []hickorydocument.ServiceAddress{{Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.1.0.%d:443", i)), Protocol: "tcp"}},
		}
		for j := range upstreams / spreadServices {
			service.Upstreams = append(service.Upstreams, hickorydocument.Upstream{
				ID:       hickoryid.UpstreamID(fmt.Sprintf("host-%04x-%d", f.random.IntN(65536), i*upstreams+j)),
				Zone:     section.Zones[j%3].Name,
				Endpoint: hickoryid.Endpoint(fmt.Sprintf("10.%d.%d.%d:6081", f.random.IntN(256), f.random.IntN(256), f.random.IntN(256))),
			})
		}
		section.Services = append(section.Services, service)
	}
	text, _ := json.Marshal(section)
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	_, _ = writer.Write(text)
	_ = writer.Close()
	content := base64.StdEncoding.EncodeToString(packed.Bytes())
	f.parsed[content] = section
	return content
}

// spreadResult is the result of one run.
type spreadResult struct {
	seconds float64
	// meanBytes and worstBytes are the bytes of a node while the version spreads,
	// sent and received together: the mean, and those of the busiest node.
	meanBytes, worstBytes float64
	contentBytes          int
	// behind is the number of nodes that the version did not reach.
	behind int
}

// runSpread publishes a version, takes the configuration service down after the
// first reader has read it, and waits until the version is in force everywhere.
func runSpread(seed uint64, size int, mode relayMode) spreadResult {
	f := newSeededFleet(seed, size, 1, mode.options...)
	first := f.service.publish(team, f.largeSection(mode.upstreams))
	f.run(time.Minute, func() bool { return f.behind(first) == 0 })
	f.runUntil(f.now.Add(10 * time.Second))
	f.switchOff(mode.without)
	f.loss = spreadLoss
	f.countBytes = true
	content := f.largeSection(mode.upstreams)
	version := f.service.publish(team, content)
	f.run(time.Minute, func() bool { return f.behind(version) < size })
	f.service.down = true
	start := f.now
	for _, m := range f.machines {
		m.sent, m.received = 0, 0
	}
	f.run(spreadLimit, func() bool { return f.behind(version) == 0 })
	result := spreadResult{seconds: time.Duration(f.now - start).Seconds(), contentBytes: len(content), behind: f.behind(version)}
	result.meanBytes, result.worstBytes = f.bytesPerSecond(1)
	return result
}

// behind counts the nodes in which the version is not in force.
func (f *fleet) behind(version hickoryid.SectionVersion) int {
	count := 0
	for _, m := range f.machines {
		if f.versionOf(m, team) != version {
			count++
		}
	}
	return count
}

// bytesPerSecond returns the mean and the largest rate of a node.
func (f *fleet) bytesPerSecond(seconds float64) (float64, float64) {
	total, worst := 0, 0
	for _, m := range f.machines {
		total += m.sent + m.received
		worst = max(worst, m.sent+m.received)
	}
	return float64(total) / float64(len(f.machines)) / seconds, float64(worst) / seconds
}

// BenchmarkSpread prints how long it takes until a version is in force everywhere,
// the bytes that this costs, and the extrapolation to the target size.
func BenchmarkSpread(b *testing.B) {
	for range b.N {
		var table strings.Builder
		fmt.Fprintf(&table, "\nseeds 1 to %d, loss %g, exchange each %s, service down after the first read\n", spreadSeeds, spreadLoss, hickoryconfig.ExchangeInterval)
		fmt.Fprintf(&table, "%-14s %7s %5s %9s %9s %7s %10s %10s %11s\n", "way", "content", "nodes", "median s", "worst s", "rounds", "mean B", "worst B", "not reached")
		for _, mode := range relayModes {
			var x, y []float64
			for _, size := range spreadSizes {
				line, median := spreadLine(size, mode)
				table.WriteString(line)
				x, y = append(x, math.Log(float64(size))), append(y, median)
			}
			slope, intercept := fit(x, y)
			fmt.Fprintf(&table, "%-14s median = %.2f s + %.2f s x ln(nodes); at %d: %.1f s\n", mode.name, intercept, slope, fullBalancers, intercept+slope*math.Log(fullBalancers))
		}
		fmt.Print(table.String())
	}
}

func spreadLine(size int, mode relayMode) (string, float64) {
	var seconds, mean, worst []float64
	behind, content := 0, 0
	for seed := range uint64(spreadSeeds) {
		result := runSpread(seed+1, size, mode)
		behind += result.behind
		content = result.contentBytes
		seconds, mean, worst = append(seconds, result.seconds), append(mean, result.meanBytes), append(worst, result.worstBytes)
	}
	slices.Sort(seconds)
	median := seconds[len(seconds)/2]
	rounds := median / hickoryconfig.ExchangeInterval.Seconds()
	return fmt.Sprintf("%-14s %7d %5d %9.2f %9.2f %7.1f %10.0f %10.0f %10.2f%%\n", mode.name, content, size, median, seconds[len(seconds)-1], rounds, slices.Max(mean), slices.Max(worst), 100*float64(behind)/float64(size*spreadSeeds)), median
}

// fit returns the slope and the intercept of the least squares line.
func fit(x, y []float64) (float64, float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx, sy, sxx, sxy = sx+x[i], sy+y[i], sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// BenchmarkFreshness prints the share of time in which balancers are not fresh
// and the bytes of an idle node, for some intervals between exchanges. 200
// balancers with 3 readers have the ratio of the target, 2,500 with 33.
func BenchmarkFreshness(b *testing.B) {
	for range b.N {
		var table strings.Builder
		fmt.Fprintf(&table, "\n%-10s %-8s %6s %12s %10s %12s\n", "interval", "service", "nodes", "not fresh", "B/s idle", "worst B/s")
		for _, interval := range []time.Duration{time.Second, 500 * time.Millisecond, 250 * time.Millisecond, 125 * time.Millisecond} {
			for _, down := range []bool{false, true} {
				for _, size := range spreadSizes {
					table.WriteString(freshnessLine(interval, down, size, 1, 30*time.Second))
				}
			}
		}
		fmt.Print(table.String())
	}
}

// BenchmarkFreshnessAtTarget prints the same figures for one region of the target, 833
// balancers in 4 zones, with ExchangeInterval.
func BenchmarkFreshnessAtTarget(b *testing.B) {
	for range b.N {
		fmt.Println()
		for _, down := range []bool{false, true} {
			fmt.Print(freshnessLine(hickoryconfig.ExchangeInterval, down, regionBalancers, regionZones, 10*time.Second))
		}
	}
}

func freshnessLine(interval time.Duration, down bool, size, zones int, idle time.Duration) string {
	f := newSeededFleet(1, size, zones, hickoryconfig.WithExchangeInterval(interval))
	f.service.publish(team, plainSection())
	f.runUntil(f.now.Add(20 * time.Second))
	f.service.down = down
	f.runUntil(f.now.Add(10 * time.Second))
	f.loss = spreadLoss
	f.countBytes = true
	stale, samples := 0, 0
	f.run(idle, func() bool {
		for _, m := range f.machines {
			samples++
			if !m.lease.Allows(f.now) {
				stale++
			}
		}
		return false
	})
	mean, worst := f.bytesPerSecond(idle.Seconds())
	state := map[bool]string{false: "up", true: "down"}[down]
	return fmt.Sprintf("%-10s %-8s %6d %11.4f%% %10.0f %12.0f\n", interval, state, size, 100*float64(stale)/float64(samples), mean, worst)
}
