package hickoryconfig

import (
	"slices"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorymessage"
)

// followBytes is the estimated size of a request of an agent with its answer.
const followBytes = 550

const (
	// maxReplyBalancers is the number of balancers in a reply to an agent, more
	// than the 3 that an agent uses, so that some are left when those 3 fail together.
	maxReplyBalancers = 8
	// balancerBytes is the estimated size of a balancer in a message.
	balancerBytes = 110
)

// AnswerFollow returns to an agent the header of the section with its service, the
// leaving marks of the service and the addresses that the service does not get.
func (n *Node) AnswerFollow(now hickorymodel.Instant, request hickorymessage.FollowRequest) hickorymessage.FollowReply {
	n.freshness.Tick(now)
	n.budget.charge(now, followBytes)
	reply := hickorymessage.FollowReply{Beacon: n.beacon(now)}
	if request.Zone != nil {
		reply.Balancers = n.nearestBalancers(Identity{Zone: *request.Zone, Region: request.Beacon.Region})
		n.budget.charge(now, balancerBytes*len(reply.Balancers))
	}
	team, ok := n.teamByService[request.Service]
	if !ok {
		return reply
	}
	reply.Marks = n.marksOf(request.Service)
	n.budget.charge(now, markBytes*len(reply.Marks))
	header := n.store.known[team]
	reply.Section = &header
	for _, refusal := range n.refused {
		if refusal.Team == team && refusal.Service == request.Service {
			reply.Refused = append(reply.Refused, hickorymessage.RefusedAddress{
				Service:  refusal.Service,
				Endpoint: refusal.Address.Socket.ID(),
				Protocol: int(refusal.Address.Protocol),
			})
		}
	}
	return reply
}

// nearestBalancers returns a random choice of the balancers to which an agent may
// send requests.
func (n *Node) nearestBalancers(agent Identity) []hickorymessage.BalancerEntry {
	if n.switchedOff.has(RuleNearBalancers) {
		return nil
	}
	nearest := slices.Clone(n.list.nearest(agent))
	if n.self.Zone == agent.Zone && len(nearest) > 0 && nearest[0].Zone != agent.Zone {
		// This balancer is the only one of the zone of the agent. Traffic between
		// zones is costly, so the agent gets no balancers of other zones.
		return nil
	}
	n.random.Shuffle(len(nearest), func(i, j int) { nearest[i], nearest[j] = nearest[j], nearest[i] })
	var entries []hickorymessage.BalancerEntry
	for _, peer := range nearest[:min(maxReplyBalancers, len(nearest))] {
		entries = append(entries, hickorymessage.BalancerEntry{
			Instance: peer.ID, Zone: peer.Zone, Region: peer.Region, Control: peer.Control,
		})
	}
	return entries
}
