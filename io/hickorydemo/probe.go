package hickorydemo

import (
	"context"
	"net/netip"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorystandin"
)

const (
	// probeInterval is the time between two sets of probes.
	probeInterval = 100 * time.Millisecond
	// probesPerTarget is the number of flows in a set for each balancer and service.
	probesPerTarget = 2
)

// configure publishes an additional address for each service, and measures the time
// until flows to it have opened through every balancer and at every agent whose
// upstream accepts flows.
func (r *run) configure(ctx context.Context) error {
	balancersInRotation := r.balancersInRotation()
	probers := make([]*hickorystandin.Caller, 0, len(balancersInRotation))
	for i, b := range balancersInRotation {
		address := netip.AddrFrom4([4]byte{10, 200, byte(i + 1), 1})
		r.fabric.Pin(address, b.balancer.Endpoint())
		prober, err := r.startCaller(ctx, address)
		if err != nil {
			return err
		}
		probers = append(probers, prober)
	}
	r.ports = append(r.ports, probePort)
	if err := r.publish(); err != nil {
		return err
	}
	publishedAt := time.Now()
	limit := publishedAt.Add(r.options.ConfigurationLimit)
	for time.Now().Before(limit) {
		if last, ok := r.lastProbeOpenedAt(probers); ok {
			r.observed.configurationTime = last.Sub(publishedAt)
			r.observed.configurationInForce = true
			return nil
		}
		r.probe(probers)
		if err := wait(ctx, probeInterval); err != nil {
			return err
		}
	}
	r.observed.configurationTime = time.Since(publishedAt)
	return nil
}

// probe opens a set of short flows to the additional addresses through each
// balancer.
func (r *run) probe(probers []*hickorystandin.Caller) {
	for _, prober := range probers {
		for i := range r.options.Profile.Services {
			prober.OpenShort(r.options.Profile.Services[i].target(probePort), probesPerTarget, probeInterval, 1)
		}
	}
}

// lastProbeOpenedAt returns the time at which the last balancer or agent passed its
// first probe, or false if one has passed none yet.
func (r *run) lastProbeOpenedAt(probers []*hickorystandin.Caller) (time.Time, bool) {
	var last time.Time
	for _, prober := range probers {
		opened := prober.Report().FirstOpenedAt
		if opened.IsZero() {
			return last, false
		}
		last = laterTime(last, opened)
	}
	for _, h := range r.hosts {
		address := hickorymodel.NewSocketAddress(h.service.address(probePort))
		at, ok := h.upstream.FirstOpening(address)
		if !ok && !h.leaving {
			return last, false
		}
		last = laterTime(last, at)
	}
	return last, true
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
