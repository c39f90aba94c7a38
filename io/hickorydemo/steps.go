package hickorydemo

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryplatform"
)

// openFlows opens the long-lived flows, and short ones until the end of the run.
func (r *run) openFlows(_ context.Context) error {
	profile := &r.options.Profile
	shortTime := r.options.Schedule.End
	short := int(shortTime.Seconds() * float64(r.options.ShortFlows))
	for i := range profile.Services {
		service := &profile.Services[i]
		share := func(total int) int { return total * service.Hosts / profile.hosts() }
		r.caller.Open(service.target(servicePort), share(r.options.Flows), r.options.Schedule.Opening)
		r.caller.OpenShort(service.target(servicePort), share(short), shortTime, shortRequests)
	}
	return nil
}

// awaitFlows waits until no long-lived flow is opening any more.
func (r *run) awaitFlows(ctx context.Context) error {
	limit := time.Now().Add(r.options.SettleTime)
	for time.Now().Before(limit) {
		callerReport := r.caller.Report()
		if callerReport.CountLong(hickorystandin.FlowOpening) == 0 {
			return nil
		}
		if err := wait(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// stopBalancer drains a balancer while the fabric removes it from rotation, and
// stops it after both.
func (r *run) stopBalancer(ctx context.Context) error {
	r.observed.imbalanceBeforeChanges = r.imbalances()
	b := r.balancers[0]
	b.state = hickoryplatform.InstanceStateLeaving
	r.publishInstances()
	drained := make(chan error, 1)
	go func(ctx context.Context) {
		drained <- b.balancer.Drain(ctx)
	}(ctx)
	if err := r.removeFromRotation(ctx, b); err != nil {
		return err
	}
	if err := <-drained; err != nil {
		return errors.Wrapf(err, "drain %s", b.id)
	}
	err := b.stop()
	r.publishInstances()
	r.reportProgress("%s has stopped", b.id)
	return err
}

// removeFromRotation makes the fabric stop sending packets to a balancer after
// fabricLag.
func (r *run) removeFromRotation(ctx context.Context, b *demoBalancer) error {
	if err := wait(ctx, fabricLag); err != nil {
		return err
	}
	b.inRotation = false
	r.updateFabric()
	return nil
}

// killBalancer closes the sockets of a balancer while the fabric still sends packets
// to it.
func (r *run) killBalancer(ctx context.Context) error {
	b := r.balancers[1]
	if err := b.stop(); err != nil {
		return err
	}
	err := r.removeFromRotation(ctx, b)
	r.publishInstances()
	return err
}

func (r *run) addBalancer(ctx context.Context) error {
	err := r.startBalancer(ctx, len(r.balancers))
	r.publishInstances()
	r.updateFabric()
	return err
}

// drainUpstream drains the upstream of the second host of the first service.
func (r *run) drainUpstream(_ context.Context) error {
	h := r.hosts[1]
	h.leaving = true
	h.upstream.Drain()
	r.publishInstances()
	return nil
}

// startColdUpstream adds a host with a cold upstream to the first service. More
// long-lived flows open meanwhile, so that the service has work for the new host.
func (r *run) startColdUpstream(ctx context.Context) error {
	service := &r.options.Profile.Services[0]
	if err := r.startHost(ctx, service, service.Hosts, r.options.RampTime); err != nil {
		return err
	}
	r.caller.Open(service.target(servicePort), r.extraFlowCount(), r.options.RampTime)
	r.publishInstances()
	return r.publish()
}

// extraFlowCount returns the number of long-lived flows opened during the cold
// start.
func (r *run) extraFlowCount() int {
	return r.options.Flows / extraFlowsDivisor
}

// takeZoneOut takes the second zone out of service. Callers give up the flows of
// its upstreams, and the fabric stops sending packets to its balancers after
// fabricLag.
func (r *run) takeZoneOut(ctx context.Context) error {
	r.observed.imbalanceBeforeZoneOut = r.imbalances()
	r.observed.zone = r.options.Profile.Zones[1]
	r.excluded = r.observed.zone
	r.observed.brokenBefore = r.brokenInZone()
	if err := r.publish(); err != nil {
		return err
	}
	r.network.StartZoneCount(r.observed.zone, zoneLimit)
	r.giveUpZoneFlows()
	if err := wait(ctx, fabricLag); err != nil {
		return err
	}
	r.setZoneInRotation(false)
	if err := wait(ctx, zoneLimit-fabricLag); err != nil {
		return err
	}
	r.giveUpZoneFlows()
	return nil
}

// bringZoneBack takes the zone into service again and ends its counts.
func (r *run) bringZoneBack(_ context.Context) error {
	r.observed.zoneCounts = r.network.EndZoneCount(r.observed.zone)
	r.observed.brokenDuring = r.brokenInZone() - r.observed.brokenBefore
	r.observed.openingsBefore = r.openingsInZone()
	r.excluded = ""
	r.setZoneInRotation(true)
	return r.publish()
}

// setZoneInRotation puts the balancers of the zone into rotation or removes them.
func (r *run) setZoneInRotation(inRotation bool) {
	for _, b := range r.balancers {
		if b.zone == r.observed.zone && !b.stopped {
			b.inRotation = inRotation
		}
	}
	r.updateFabric()
}

// awaitLastReplies waits until no flow waits for the reply to a request that was
// sent more than once.
func (r *run) awaitLastReplies(ctx context.Context) error {
	end := time.Now().Add(r.options.SettleTime)
	// Each flow sends a request within 1.5 intervals, which reveals a flow that broke
	// at the end.
	if err := wait(ctx, r.options.Interval*3/2); err != nil {
		return err
	}
	for {
		callerReport := r.caller.Report()
		if callerReport.Unanswered == 0 || time.Now().After(end) {
			return nil
		}
		if err := wait(ctx, pollInterval); err != nil {
			return err
		}
	}
}
