package hickorymember

import (
	"slices"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// refreshInterval is the time after which a view that names suspects is sent
	// again. The refresh reaches balancers that did not receive the earlier ones.
	refreshInterval = 20 * time.Second
	// refreshPerView is the time by which each view that names suspects lengthens
	// the interval, so that refreshes take half of the budget however many hosts
	// are dead.
	refreshPerView = 2 * time.Second
	// lifetimeRefreshes is the lifetime of a view in refresh intervals, which
	// allows for two lost refreshes. The view of an observer that died or is cut
	// off is dropped at the end of its lifetime.
	lifetimeRefreshes = 3
	// maxViews is the largest number of stored views; it is above the number of
	// balancers.
	maxViews = 4096
	// maxSuspects is the largest number of suspects of a view, as in the schema.
	maxSuspects = 256
)

// View is the list of all upstreams that one observer suspects. A later view of
// the same observer replaces it as a whole, so leaving out a suspect ends the
// suspicion.
type View struct {
	Observer hickoryid.InstanceID
	// Sequence increases with each view of an observer.
	Sequence int
	// Suspects is sorted.
	Suspects []hickoryid.UpstreamID
}

// storedView is the newest view of an observer.
type storedView struct {
	view       View
	receivedAt hickorymodel.Instant
	// lifetime is the time after receivedAt at which the view is dropped. It only
	// increases: when the number of views falls and with it the refresh interval,
	// the observer may still follow the longer interval.
	lifetime time.Duration
}

// HandleViews handles the views that another balancer has sent. The actions are
// valid until the next call.
func (d *Detector) HandleViews(now hickorymodel.Instant, views []View) []Action {
	d.actions = d.actions[:0]
	changed := false
	for i := range views {
		if views[i].Observer != d.self.ID && d.storeView(now, views[i]) {
			changed = true
		}
	}
	if changed {
		d.updateEjected()
	}
	return d.actions
}

// storeView stores a view if it is newer than the stored one, and queues it for
// sending to other balancers. It reports whether the view was stored. A view whose
// suspects differ from those of the stored one is urgent.
func (d *Detector) storeView(now hickorymodel.Instant, view View) bool {
	stored, known := d.views[view.Observer]
	if known && view.Sequence <= stored.view.Sequence {
		return false
	}
	if !known && len(d.views) >= maxViews {
		return false
	}
	urgent := !known || !slices.Equal(stored.view.Suspects, view.Suspects)
	d.views[view.Observer] = &storedView{view: view, receivedAt: now}
	d.queue.add(view.Observer, urgent)
	return true
}

// publishOwnView stores and queues the view of this balancer when it has changed,
// and again after each refresh interval while it names suspects. An isolated observer publishes
// a view without suspects, which withdraws the earlier ones.
func (d *Detector) publishOwnView(now hickorymodel.Instant) {
	suspects := d.ownSuspects()
	stored := d.views[d.self.ID]
	if stored == nil && len(suspects) == 0 {
		return
	}
	if stored != nil && slices.Equal(stored.view.Suspects, suspects) {
		if len(suspects) == 0 || now.Sub(stored.receivedAt) < d.refreshInterval() {
			return
		}
	}
	d.lastViewSequence++
	d.storeView(now, View{Observer: d.self.ID, Sequence: d.lastViewSequence, Suspects: suspects})
	d.updateEjected()
}

func (d *Detector) ownSuspects() []hickoryid.UpstreamID {
	if d.isolated {
		return nil
	}
	var suspects []hickoryid.UpstreamID
	for _, t := range d.ordered {
		if t.phase == phaseSuspected && len(suspects) < maxSuspects {
			suspects = append(suspects, t.upstream)
		}
	}
	return suspects
}

// refreshInterval returns the interval at which all balancers repeat their views.
// It grows with the number of views that name suspects.
func (d *Detector) refreshInterval() time.Duration {
	count := 0
	for _, stored := range d.views {
		if len(stored.view.Suspects) > 0 {
			count++
		}
	}
	return max(refreshInterval, time.Duration(count)*refreshPerView)
}

// expireViews drops the views whose lifetime has ended, and reports whether there
// were any.
func (d *Detector) expireViews(now hickorymodel.Instant) bool {
	if len(d.views) == 0 {
		return false
	}
	expired := false
	lifetime := lifetimeRefreshes * d.refreshInterval()
	for observer, stored := range d.views {
		stored.lifetime = max(stored.lifetime, lifetime)
		if now.Sub(stored.receivedAt) >= stored.lifetime {
			delete(d.views, observer)
			d.queue.remove(observer)
			expired = true
		}
	}
	return expired
}
