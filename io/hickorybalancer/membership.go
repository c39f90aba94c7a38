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
	// probeCapacity holds the actions of one tick for 100 targets that are all
	// being confirmed, that is, probed from a new source port before they are
	// suspected.
	probeCapacity = 256
	replyCapacity = 256
	// viewsToSendCapacity holds the calls of 3 s at the highest rate at which the
	// detector sends views.
	viewsToSendCapacity = 16
	viewCapacity        = 64
)

// membershipRings join the membership duty to the others.
type membershipRings struct {
	services  *hickoryring.ServiceRing
	balancers *hickoryring.BalancerRing
	replies   *hickoryring.ProbeReplyRing
	// views carries the views that other balancers send.
	views *hickoryring.ViewRing
	// probes carries actions to the probe duty, viewsToSend to the tell duty.
	probes      *hickoryring.MemberActionRing
	viewsToSend *hickoryring.MemberActionRing
	ejected     *hickoryring.EjectedRing
}

func newMembershipRings() membershipRings {
	return membershipRings{
		services:    hickoryring.NewServiceRing(),
		balancers:   hickoryring.NewBalancerRing(),
		replies:     hickoryring.NewProbeReplyRing(replyCapacity),
		views:       hickoryring.NewViewRing(viewCapacity),
		probes:      hickoryring.NewMemberActionRing(probeCapacity, hickoryring.Wait),
		viewsToSend: hickoryring.NewMemberActionRing(viewsToSendCapacity, hickoryring.DropNewest),
		ejected:     hickoryring.NewEjectedRing(),
	}
}

// membership runs the failure detector. Only the membership duty uses it.
type membership struct {
	clock    *hickoryclock.Clock
	detector *hickorymember.Detector
	rings    membershipRings
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
			m.handlePendingReplies(ctx)
			m.perform(ctx, m.detector.Tick(m.clock.Now()))
		}
	}
}

// handlePendingReplies handles the replies that are in the ring. It is called before
// Tick, which would otherwise count their probes as missed.
func (m *membership) handlePendingReplies(ctx context.Context) {
	for {
		select {
		case reply := <-m.rings.replies.Items():
			m.perform(ctx, m.detector.HandleReply(m.clock.Now(), reply))
		default:
			return
		}
	}
}

// perform logs an event, replaces the set of ejected upstreams, or passes an action
// to the tell or the probe duty.
func (m *membership) perform(ctx context.Context, actions []hickorymember.Action) {
	for i := range actions {
		switch action := &actions[i]; action.Verb {
		case hickorymember.VerbSendViews:
			m.rings.viewsToSend.Put(ctx, *action)
		case hickorymember.VerbEject:
			m.rings.ejected.Put(action.Ejected)
		case hickorymember.VerbLog:
			m.log(&action.LogEvent)
		default:
			m.rings.probes.Put(ctx, *action)
		}
	}
}

func (m *membership) log(logEvent *hickorymember.LogEvent) {
	fields := hickorylog.Fields{}
	if logEvent.Upstream != "" {
		fields["upstream"] = logEvent.Upstream
	}
	if logEvent.Targets > 0 {
		fields["missing"] = logEvent.Missing
		fields["targets"] = logEvent.Targets
	}
	if event, ok := eventsByKind[logEvent.Kind]; ok {
		m.logger.Log(event, fields)
	}
}

// eventsByKind maps the kinds of detector events to log events. It never changes.
var eventsByKind = map[hickorymember.EventKind]hickoryevent.Event{
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
