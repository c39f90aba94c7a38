package hickoryagent

import (
	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
)

// importStep handles one step of the transfer from the predecessor. Until the
// last part the agent leaves all packets in the ring.
func (d *decider) importStep(step *hickoryring.Import) {
	switch step.Kind {
	case hickoryring.ImportNone:
		d.waiting = false
		return
	case hickoryring.ImportEnd:
		d.predecessor = hickorymodel.Endpoint{}
		d.tracker.ClearPredecessor()
		return
	case hickoryring.ImportFirst:
		d.waiting = true
		d.tracker = d.newTracker()
		d.applyService()
	default:
	}
	now := d.clock.Now()
	if left := d.tracker.Import(now, step.Part.Flows); left > 0 {
		d.logger.Log(hickoryevent.FlowsNotImported, hickorylog.Fields{"flows": left})
	}
	if !step.Part.Relaying {
		return
	}
	d.tracker.SetPredecessor(step.Predecessor)
	d.tracker.FinishImport(now, step.Part.Redirects, step.Part.OpeningLimit)
	d.predecessor = step.Predecessor
	d.waiting = false
	d.flows.Store(int64(d.tracker.Flows()))
	d.logger.Log(hickoryevent.TransferComplete, hickorylog.Fields{"flows": d.tracker.Flows()})
}

func (d *decider) newTracker() *hickoryflow.Tracker {
	return hickoryflow.NewTracker(d.own, d.settings.Upstream, d.random)
}

// unwrap returns the datagram that the predecessor relayed, with its sender.
func (d *decider) unwrap(frame hickoryring.Frame) (hickoryring.Frame, bool) {
	if d.predecessor.IsZero() || frame.Peer != d.predecessor {
		return frame, false
	}
	origin, inner, ok := d.codec.DecodeRelayed(frame.Bytes)
	if !ok {
		return frame, false
	}
	return hickoryring.Frame{Peer: origin, Bytes: inner}, true
}

// throughPredecessor reports whether a frame must go out from the predecessor's
// socket: its receiver knows the agent by that endpoint only.
func (d *decider) throughPredecessor() bool {
	return d.relayed || (!d.predecessor.IsZero() && d.tracker.Self() == d.predecessor)
}
