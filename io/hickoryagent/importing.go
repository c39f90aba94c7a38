package hickoryagent

import (
	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryevent"
)

// importStep handles one step of the transfer from the predecessor. Until the
// last part has been imported, all received packets stay in their ring.
func (d *decider) importStep(step *hickoryring.Import) {
	switch step.Kind {
	case hickoryring.ImportNone:
		d.importing = false
		return
	case hickoryring.ImportEnd:
		d.predecessor = hickorymodel.Endpoint{}
		d.tracker.ClearPredecessor()
		return
	case hickoryring.ImportFirst:
		d.importing = true
		d.tracker = d.newTracker()
		d.applyService()
	default:
	}
	now := d.clock.Now()
	if skipped := d.tracker.Import(now, step.Part.Flows); skipped > 0 {
		d.logger.Log(hickoryevent.FlowsNotImported, hickorylog.Fields{"flows": skipped})
	}
	if !step.Part.Relaying {
		return
	}
	d.tracker.SetPredecessor(step.Predecessor)
	d.tracker.FinishImport(now, step.Part.Redirects, step.Part.OpeningLimit)
	d.predecessor = step.Predecessor
	d.importing = false
	d.flows.Store(int64(d.tracker.Flows()))
	d.logger.Log(hickoryevent.TransferComplete, hickorylog.Fields{"flows": d.tracker.Flows()})
}

func (d *decider) newTracker() *hickoryflow.Tracker {
	return hickoryflow.NewTracker(d.ownEndpoint, d.settings.Upstream, d.random)
}

// unwrap returns the datagram inside a frame that the predecessor relayed, with
// its original sender. It returns any other frame unchanged, and false.
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

// throughPredecessor reports whether a datagram must be sent from the
// predecessor's socket, because its receiver identifies this agent by that endpoint
// only: the datagram answers a relayed one, or the section in force states the
// predecessor's endpoint for this agent.
func (d *decider) throughPredecessor() bool {
	return d.frameRelayed || (!d.predecessor.IsZero() && d.tracker.Self() == d.predecessor)
}
