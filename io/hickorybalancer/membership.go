package hickorybalancer

import (
	"context"
	"time"

	"hickoryworks/core/hickorymember"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryclock"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
)

// Capacities of the rings around the membership duty.
const (
	// probeCapacity holds a tick of 100 targets that are all being confirmed.
	probeCapacity = 256
	replyCapacity = 256
	// tellCapacity holds the calls of 3 s at the highest pace.
	tellCapacity = 16
	viewCapacity = 64
)

// memberRings join the membership duty to the others.
type memberRings struct {
	services  *hickoryring.ServiceRing
	balancers *hickoryring.BalancerRing
	replies   *hickoryring.ProbeReplyRing
	views     *hickoryring.ViewRing
	probes    *hickoryring.MemberActionRing
	tells     *hickoryring.MemberActionRing
	ejected   *hickoryring.EjectedRing
}

func newMemberRings() memberRings {
	return memberRings{
		services:  hickoryring.NewServiceRing(),
		balancers: hickoryring.NewBalancerRing(),
		replies:   hickoryring.NewProbeReplyRing(replyCapacity),
		views:     hickoryring.NewViewRing(viewCapacity),
		probes:    hickoryring.NewMemberActionRing(probeCapacity, hickoryring.Wait),
		tells:     hickoryring.NewMemberActionRing(tellCapacity, hickoryring.DropNewest),
		ejected:   hickoryring.NewEjectedRing(),
	}
}

// membership runs the failure detector. One goroutine uses it.
type membership struct {
	clock    *hickoryclock.Clock
	detector *hickorymember.Detector
	rings    memberRings
	logger   *hickorylog.Logger
}

func (m *membership) run(ctx context.Context) error {
	ticker := time.NewTicker(hickorymember.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case services := <-m.rings.services.Items():
			m.perform(ctx, m.detector.SetServices(m.clock.Now(), services))
		case balancers := <-m.rings.balancers.Items():
			m.perform(ctx, m.detector.SetBalancers(m.clock.Now(), balancers))
		case reply := <-m.rings.replies.Items():
			m.perform(ctx, m.detector.HandleReply(m.clock.Now(), reply))
		case views := <-m.rings.views.Items():
			m.perform(ctx, m.detector.HandleViews(m.clock.Now(), views))
		case <-ticker.C:
			m.takeReplies(ctx)
			m.perform(ctx, m.detector.Tick(m.clock.Now()))
		}
	}
}

// takeReplies handles the answers that have arrived before a tick judges them
// to be missing.
func (m *membership) takeReplies(ctx context.Context) {
	for {
		select {
		case reply := <-m.rings.replies.Items():
			m.perform(ctx, m.detector.HandleReply(m.clock.Now(), reply))
		default:
			return
		}
	}
}

func (m *membership) perform(ctx context.Context, actions []hickorymember.Action) {
	for i := range actions {
		switch action := &actions[i]; action.Verb {
		case hickorymember.VerbSendViews:
			m.rings.tells.Put(ctx, *action)
		case hickorymember.VerbEject:
			m.rings.ejected.Put(action.Ejected)
		case hickorymember.VerbLog:
			m.log(&action.LogEvent)
		default:
			m.rings.probes.Put(ctx, *action)
		}
	}
}

func (m *membership) log(report *hickorymember.LogEvent) {
	fields := hickorylog.Fields{}
	if report.Upstream != "" {
		fields["upstream"] = report.Upstream
	}
	if report.Targets > 0 {
		fields["missing"] = report.Missing
		fields["targets"] = report.Targets
	}
	if event, ok := reportEvents[report.Kind]; ok {
		m.logger.Log(event, fields)
	}
}

// reportEvents never changes.
var reportEvents = map[hickorymember.EventKind]hickoryevent.Event{
	hickorymember.EventSuspected:       hickoryevent.UpstreamSuspected,
	hickorymember.EventRefuted:         hickoryevent.SuspicionRefuted,
	hickorymember.EventPathMoved:       hickoryevent.PathMoved,
	hickorymember.EventIsolated:        hickoryevent.ViewDoubted,
	hickorymember.EventIsolationEnded:  hickoryevent.ViewTrusted,
	hickorymember.EventPaused:          hickoryevent.ProcessPaused,
	hickorymember.EventEjected:         hickoryevent.UpstreamEjected,
	hickorymember.EventReadmitted:      hickoryevent.UpstreamReadmitted,
	hickorymember.EventEjectionLimited: hickoryevent.EjectionLimited,
}

// withEjected returns the services with the ejected upstreams marked as
// suspected. An excluded upstream stays excluded.
func withEjected(services hickoryring.Services, ejected hickoryring.Ejected) hickoryring.Services {
	if len(ejected) == 0 {
		return services
	}
	marked := make(hickoryring.Services, 0, len(services))
	for _, service := range services {
		service.Upstreams = append([]hickorymodel.Upstream(nil), service.Upstreams...)
		for i := range service.Upstreams {
			upstream := &service.Upstreams[i]
			if ejected.Has(upstream.ID) && upstream.State != hickorymodel.UpstreamExcluded {
				upstream.State = hickorymodel.UpstreamSuspected
			}
		}
		marked = append(marked, service)
	}
	return marked
}
