package hickorybalancer

import (
	"context"
	"time"

	"hickoryworks/core/hickorymember"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// memberService is the name under which viewReceiver is registered.
	memberService   = "member"
	sendViewsMethod = memberService + ".Tell"
	// sendViewsTimeout limits a call to a balancer that does not answer.
	sendViewsTimeout = time.Second
)

// viewSender sends views to other balancers. Only the tell duty uses it.
type viewSender struct {
	self   hickoryid.InstanceID
	client *hickoryrpc.Client
}

func (s *viewSender) run(ctx context.Context, viewsToSend *hickoryring.MemberActionRing) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-viewsToSend.Items():
			s.sendViews(ctx, &action)
		}
	}
}

// sendViews sends the views of an action to one balancer. A failed call is not
// repeated: the peer gets the views from other balancers or with a later refresh,
// and a peer that has stopped is removed from the instance list.
func (s *viewSender) sendViews(ctx context.Context, action *hickorymember.Action) {
	ctx, cancel := context.WithTimeout(ctx, sendViewsTimeout)
	defer cancel()
	request := hickorymessage.SuspicionRequest{Sender: s.self}
	for _, view := range action.Views {
		request.Views = append(request.Views, hickorymessage.ObserverView{
			Observer: view.Observer,
			Sequence: view.Sequence,
			Suspects: view.Suspects,
		})
	}
	var reply hickorymessage.SuspicionReply
	_ = s.client.Call(ctx, action.Peer.Endpoint, sendViewsMethod, request, &reply)
}

// viewReceiver receives the views that other balancers send.
type viewReceiver struct {
	views *hickoryring.ViewRing
}

// Tell passes the views of another balancer to the membership duty. The reply's
// Taken is false when the ring is full.
func (r *viewReceiver) Tell(request hickorymessage.SuspicionRequest, reply *hickorymessage.SuspicionReply) error {
	views := make([]hickorymember.View, 0, len(request.Views))
	for _, view := range request.Views {
		views = append(views, hickorymember.View{
			Observer: view.Observer,
			Sequence: view.Sequence,
			Suspects: view.Suspects,
		})
	}
	reply.Taken = r.views.Put(views)
	return nil
}
