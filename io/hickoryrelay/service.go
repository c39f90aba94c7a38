package hickoryrelay

import (
	"time"

	"github.com/pkg/errors"

	"hickoryworks/io/hickoryrpc"
	"hickoryworks/schema/hickorymessage"
)

// handlePeerRequest passes a request to the configuration duty and waits until the
// reply is filled in. It fails when the event ring is full and after callTimeout.
func (r *Relay) handlePeerRequest(pending *peerRequest) error {
	pending.answered = make(chan struct{})
	if !r.events.offer(event{peerRequest: pending}) {
		return errors.New("relay: too many requests")
	}
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-pending.answered:
		return nil
	case <-timer.C:
		return errors.New("relay: no answer in time")
	}
}

// RegisterBalancer adds the methods of a balancer to a control server and counts
// the bytes of its connections. It is called before the duties start.
func (r *Relay) RegisterBalancer(server *hickoryrpc.Server) error {
	r.meters = append(r.meters, newMeterCounters(r.parts.Scope, server.Meter()))
	return server.Register(serviceName, &balancerService{relay: r})
}

// RegisterAgent adds the methods of an agent to a control server and counts the
// bytes of its connections. It is called before the duties start.
func (r *Relay) RegisterAgent(server *hickoryrpc.Server) error {
	r.meters = append(r.meters, newMeterCounters(r.parts.Scope, server.Meter()))
	return server.Register(serviceName, &agentService{relay: r})
}

// balancerService has the RPC methods of a balancer.
type balancerService struct {
	relay *Relay
}

// Exchange compares the digest of another balancer with that of this balancer and
// answers with the headers and marks that differ.
func (s *balancerService) Exchange(request hickorymessage.DigestRequest, reply *hickorymessage.DigestReply) error {
	pending := &peerRequest{digest: &request}
	if err := s.relay.handlePeerRequest(pending); err != nil {
		return err
	}
	*reply = pending.digestReply
	return nil
}

// Pull answers with one part of a section.
func (s *balancerService) Pull(request hickorymessage.PullRequest, reply *hickorymessage.PullReply) error {
	return s.relay.handlePull(request, reply)
}

// Push handles the headers, sections and marks that another balancer sends.
func (s *balancerService) Push(request hickorymessage.PushRequest, reply *hickorymessage.PushReply) error {
	pending := &peerRequest{push: &request}
	if err := s.relay.handlePeerRequest(pending); err != nil {
		return err
	}
	*reply = pending.pushReply
	return nil
}

// Follow answers an agent with the header of its section, the leaving marks and the
// addresses that the service does not get.
func (s *balancerService) Follow(request hickorymessage.FollowRequest, reply *hickorymessage.FollowReply) error {
	pending := &peerRequest{follow: &request}
	if err := s.relay.handlePeerRequest(pending); err != nil {
		return err
	}
	*reply = pending.followReply
	return nil
}

// agentService has the RPC methods of an agent.
type agentService struct {
	relay *Relay
}

// Pull answers with one part of the section of the agent's service.
func (s *agentService) Pull(request hickorymessage.PullRequest, reply *hickorymessage.PullReply) error {
	return s.relay.handlePull(request, reply)
}

// handlePull answers a pull request.
func (r *Relay) handlePull(request hickorymessage.PullRequest, reply *hickorymessage.PullReply) error {
	pending := &peerRequest{pull: &request}
	if err := r.handlePeerRequest(pending); err != nil {
		return err
	}
	*reply = pending.pullReply
	return nil
}
