package hickorysteering

import (
	"math"
	"time"

	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickoryline"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

// openTimeout is how long callers wait for an answer to their first packet: 0.8 s after
// the last copy.
const openTimeout = 1400 * time.Millisecond

// unlimitedWait is the value of MaxWait in terms that stands for no limit.
const unlimitedWait = math.MaxUint32

// features returns the features that the agent reports.
func (a *Agent) features() Features {
	features := FeatureProbe
	if a.waiting.enabled || a.work.model != nil {
		features |= FeatureTerms
	}
	if a.waiting.enabled {
		features |= FeatureLine
	}
	return features
}

// reportFeatures sends the first report to a balancer that does not know yet that it may
// send terms.
func (a *Agent) reportFeatures(now hickorymodel.Instant, to hickorymodel.Endpoint, balancer *balancerRecord) {
	if a.features().Has(FeatureTerms) && balancer.lastReportAt == 0 {
		a.report(now, to, balancer)
	}
}

// HandleOpenTerms decides on a first packet with its terms. One without a target
// latency is handled like one without terms.
func (a *Agent) HandleOpenTerms(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, terms *hickoryframe.Terms, p *Packet) []Action {
	a.actions = a.actions[:0]
	a.recordFrame(now, from).lastOpenAt = now
	a.recordTerms(terms, p.Flow)
	if !a.waiting.enabled || terms.TargetLatency == 0 || terms.Slots == 0 {
		a.handleFirst(now, from, header, p)
		return a.actions
	}
	if reason, ok := a.admitOpening(now, header); !ok {
		a.returnWithWork(now, from, reason, p)
		return a.actions
	}
	a.waiting.slots = int(terms.Slots)
	entered := a.handleTerms(now, from, header, terms, p)
	a.releaseWaiting(now)
	if !a.waiting.line.Has(p.Flow) {
		return a.actions
	}
	if entered {
		a.onDecision(&Decision{Step: StepLineEntered, Flow: p.Flow, Peer: from, Copy: p.Copy, Count: a.waiting.line.Len()})
	}
	a.sendWaitingNotice(from, p.Flow)
	return a.actions
}

// handleTerms delivers a first packet if none wait and the upstream has room, and makes
// it wait or returns it otherwise. It reports whether the packet has entered the line.
func (a *Agent) handleTerms(now hickorymodel.Instant, from hickorymodel.Endpoint, header *hickoryframe.Header, terms *hickoryframe.Terms, p *Packet) bool {
	w := &a.waiting
	item := newItem(now, terms, p)
	if w.line.Update(&item) {
		w.packets[p.Flow] = waitingPacket{packet: *p, balancer: from}
		return false
	}
	f, known := a.flows[p.Flow]
	opened := known && f.isCopy(p) // an earlier copy has taken the room
	if opened || (w.line.Len() == 0 && a.waitsWithin(now, terms) && a.hasRoom(now, w.openRoom(terms, int(header.Room)))) {
		reason, ok := a.gate.admit(now)
		if ok {
			a.openFlow(now, from, p)
			return false
		}
		if opened || reason != ReasonCold {
			a.returnWithWork(now, from, reason, p)
			return false
		}
	}
	if reason, ok := a.admitToLine(now, terms, &item); !ok {
		a.returnWithWork(now, from, reason, p)
		return false
	}
	a.enterLine(now, from, &item, p)
	return true
}

// admitToLine reports whether a first packet may wait, and why not.
func (a *Agent) admitToLine(now hickorymodel.Instant, terms *hickoryframe.Terms, item *hickoryline.Item) (Reason, bool) {
	switch {
	case a.gate.silent:
		return ReasonSilent, false
	case a.waiting.line.Hopeless(now, item):
		return ReasonLate, false
	case terms.MaxWait == 0, terms.MaxWait != unlimitedWait && a.waitInLine(now, item) > fromFrameTime(terms.MaxWait):
		return ReasonBusy, false
	default:
		return ReasonNone, true
	}
}

// waitsWithin reports whether a request that is delivered now is expected to get a slot
// within the longest wait of the terms. A longest wait of 0 only keeps a packet out of the
// line: room decides whether the upstream may queue it.
func (a *Agent) waitsWithin(now hickorymodel.Instant, terms *hickoryframe.Terms) bool {
	return terms.MaxWait == 0 || terms.MaxWait == unlimitedWait || a.waiting.wait(now) <= fromFrameTime(terms.MaxWait)
}

// enterLine makes a first packet wait. If the line is full, the least useful packet goes
// back to its balancer.
func (a *Agent) enterLine(now hickorymodel.Instant, from hickorymodel.Endpoint, item *hickoryline.Item, p *Packet) {
	displaced, full := a.waiting.line.Add(now, *item)
	a.waiting.packets[p.Flow] = waitingPacket{packet: *p, balancer: from}
	if full {
		a.refuseWaiting(now, &displaced, ReasonBusy)
	}
}

// waitInLine returns the expected time until an item that enters the line now gets a
// slot.
func (a *Agent) waitInLine(now hickorymodel.Instant, item *hickoryline.Item) time.Duration {
	w := &a.waiting
	ahead := time.Duration(w.line.Ahead(now, item))
	wait := w.wait(now) + ahead*w.serviceTime(item.Route)/time.Duration(w.slots)
	return max(wait, a.gate.coldWait(now, int(ahead)))
}

// newItem returns the item of a first packet.
func newItem(now hickorymodel.Instant, terms *hickoryframe.Terms, p *Packet) hickoryline.Item {
	return hickoryline.Item{
		Flow:          p.Flow,
		Sequence:      p.Sequence,
		Route:         hickorydirectory.RouteHash(terms.Route),
		Priority:      terms.Priority,
		BeganAt:       now.Add(-fromFrameTime(terms.Age)),
		TargetLatency: fromFrameTime(terms.TargetLatency),
		Timeout:       fromFrameTime(terms.Timeout),
		OpenTimeout:   openTimeout,
	}
}

// returnWithWork returns a first packet that came with terms.
func (a *Agent) returnWithWork(now hickorymodel.Instant, to hickorymodel.Endpoint, reason Reason, p *Packet) {
	a.returnPacket(to, reason, p)
	action := &a.actions[len(a.actions)-1]
	action.Header.Kind = uint8(KindWorkReturn)
	action.Work = a.CurrentWork(now)
}

// sendWaitingNotice tells a balancer that the first packet of a flow waits here.
func (a *Agent) sendWaitingNotice(to hickorymodel.Endpoint, flow hickorymodel.FlowKey) {
	notice := frameAction(to, KindNotice, ReasonWaiting, nil)
	notice.Verb = VerbNotice
	notice.Flow = flow
	a.actions = append(a.actions, notice)
}
