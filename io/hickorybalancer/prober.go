package hickorybalancer

import (
	"context"

	"hickoryworks/core/hickorymember"
	"hickoryworks/io/hickorygeneve"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// prober sends the probes of the failure detector from the data socket, and from
// second sockets with a source port of their own. Only the probe duty uses it.
type prober struct {
	observer hickoryid.InstanceID
	socket   *hickorysocket.Socket
	codec    *hickorygeneve.Codec
	// received is the ring for datagrams that arrive on the second sockets.
	received *hickoryring.FrameRing
	logger   *hickorylog.Logger
}

func (p *prober) run(ctx context.Context, probes *hickoryring.MemberActionRing) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-probes.Items():
			p.perform(ctx, &action)
		}
	}
}

func (p *prober) perform(ctx context.Context, action *hickorymember.Action) {
	switch action.Verb {
	case hickorymember.VerbProbe:
		if frame, ok := p.encodeProbe(action); ok {
			p.socket.Send(frame)
		}
	case hickorymember.VerbProbeNewPort:
		if err := p.socket.OpenPath(ctx, action.Target, p.received); err != nil {
			p.logger.LogError(hickoryevent.PathNotOpened, err)
			return
		}
		if frame, ok := p.encodeProbe(action); ok {
			p.socket.SendOnNewPath(frame)
		}
	case hickorymember.VerbKeepNewPort:
		p.socket.KeepPath(action.Target)
	case hickorymember.VerbDropNewPort:
		p.socket.DropPath(action.Target)
	default:
	}
}

func (p *prober) encodeProbe(action *hickorymember.Action) (hickoryring.Frame, bool) {
	encoded, err := p.codec.EncodeMessage(&hickorymessage.Datagram{Probe: &hickorymessage.Probe{
		Sequence: action.Sequence,
		Observer: p.observer,
	}})
	if err != nil {
		return hickoryring.Frame{}, false
	}
	return hickoryring.Frame{Peer: action.Target, Bytes: append([]byte(nil), encoded...)}, true
}
