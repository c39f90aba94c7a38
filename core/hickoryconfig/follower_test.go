package hickoryconfig_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

const balancerControl hickoryid.Endpoint = "10.0.0.1:7000"

// newFollower returns an agent that has one balancer in its list and has sent no
// request yet.
func newFollower(t *testing.T) *hickoryconfig.Follower {
	f := newFleet(t, 0, 1)
	self := hickoryconfig.Identity{Instance: "agent-0", Zone: "tt-north-a", Region: "tt-north"}
	follower := hickoryconfig.NewFollower(self, "pagebound-service", f.decode, rand.New(rand.NewPCG(seed(t), 1)))
	follower.SetInstances(second, hickoryplatform.Instances{Instances: []hickoryplatform.Instance{{
		ID: "balancer-0000", Role: hickoryplatform.RoleBalancer, Zone: "tt-north-a", Region: "tt-north",
		State: hickoryplatform.InstanceStateLive, ControlEndpoint: balancerControl,
	}}})
	return follower
}

func followReply(team hickoryid.TeamName, version hickoryid.SectionVersion) hickorymessage.FollowReply {
	return hickorymessage.FollowReply{
		Beacon:  hickorymessage.Beacon{Instance: "balancer-0000", Region: "tt-north", InService: true, Fresh: true},
		Section: &hickorymessage.SectionHeader{Team: team, Version: version},
	}
}

// deliverReply passes a reply, and the content that it announces, to an agent. It
// returns the services that the agent puts in force.
func deliverReply(follower *hickoryconfig.Follower, reply hickorymessage.FollowReply, content string) []hickorymodel.Service {
	const now = second
	var services []hickorymodel.Service
	follower.Tick(now)
	// Calls of the follower reuse the slice of actions of the call before.
	actions := append([]hickoryconfig.Action(nil), follower.HandleFollowReply(now, now, balancerControl, reply)...)
	for _, action := range actions {
		if action.Verb == hickoryconfig.VerbPull {
			pulled := hickorymessage.PullReply{Team: action.Pull.Team, Version: action.Pull.Version, Size: len(content), Part: content}
			actions = append(actions, follower.HandlePullReply(now, balancerControl, pulled)...)
		}
	}
	actions = append(actions, follower.Tick(now)...)
	for _, action := range actions {
		if action.Verb == hickoryconfig.VerbApply {
			services = action.Services
		}
	}
	return services
}

// TestFollowerNeedsBalancerInService guards against an agent that starts with an
// older section, because it accepted the answer of a balancer that is itself
// starting.
func TestFollowerNeedsBalancerInService(t *testing.T) {
	is := is.New(t)
	follower := newFollower(t)
	reply := followReply(team, 1)
	reply.Beacon.InService = false
	for _, action := range follower.HandleFollowReply(second, second, balancerControl, reply) {
		is.True(action.Verb != hickoryconfig.VerbPull)
	}
	is.True(!follower.Lease(second).Allows(second))
}

// TestFollowerLease guards against an agent that forwards to other agents after
// it has been cut off from the balancers or paused.
func TestFollowerLease(t *testing.T) {
	is := is.New(t)
	follower := newFollower(t)
	deliverReply(follower, followReply(team, 1), plainSection())
	lease := follower.Lease(second)
	is.True(lease.Allows(second))
	now := second
	for now < second.Add(hickoryconfig.FreshWindow) {
		is.True(follower.Lease(now).Allows(now))
		now = now.Add(hickoryconfig.TickInterval)
		follower.Tick(now)
	}
	is.True(!follower.Lease(now).Allows(now))
	follower.HandleFollowReply(now, now, balancerControl, followReply(team, 1))
	is.True(follower.Lease(now).Allows(now))
	resumed := now.Add(hickoryconfig.PauseLimit + time.Millisecond)
	is.True(!follower.Lease(now).Allows(resumed))
	follower.Tick(resumed)
	is.True(!follower.Lease(resumed).Allows(resumed))
}

// TestFollowerDropsRefusedAddress guards against an agent that accepts packets for
// an address that belongs to another team, since the section of the agent alone
// does not show that.
func TestFollowerDropsRefusedAddress(t *testing.T) {
	is := is.New(t)
	follower := newFollower(t)
	services := deliverReply(follower, followReply(team, 1), plainSection())
	is.Equal(len(services[0].Addresses), 1)
	reply := followReply(team, 1)
	reply.Refused = []hickorymessage.RefusedAddress{{Service: "pagebound-service", Endpoint: "10.1.0.1:443", Protocol: 6}}
	services = deliverReply(follower, reply, "")
	is.Equal(len(services[0].Addresses), 0)
}

// TestFollowerExcludesAnnouncedZone guards against an agent that still forwards
// into a zone out of service until the content of the new section has arrived.
func TestFollowerExcludesAnnouncedZone(t *testing.T) {
	is := is.New(t)
	follower := newFollower(t)
	deliverReply(follower, followReply(team, 1), plainSection())
	reply := followReply(team, 2)
	reply.Section.OutOfService = []hickoryid.ZoneName{excludedZone}
	follower.HandleFollowReply(second, second, balancerControl, reply)
	var states []hickorymodel.UpstreamState
	for _, action := range follower.Tick(second) {
		for _, service := range action.Services {
			for _, upstream := range service.Upstreams {
				states = append(states, upstream.State)
			}
		}
	}
	is.Equal(states, []hickorymodel.UpstreamState{hickorymodel.UpstreamAccepting, hickorymodel.UpstreamExcluded, hickorymodel.UpstreamAccepting})
}

// TestFollowerMovesWithService guards against an agent that keeps the section in
// which its service was before the service moved to another one.
func TestFollowerMovesWithService(t *testing.T) {
	is := is.New(t)
	follower := newFollower(t)
	deliverReply(follower, followReply(team, 5), plainSection())
	moved := sectionOf("arboleda", 1, "10.1.0.1:443", func(section *hickorydocument.Section) { section.Services[0].Name = "pagebound-service" })
	services := deliverReply(follower, followReply("arboleda", 3), moved)
	is.Equal(len(services), 1)
	is.Equal(services[0].Team, hickoryid.TeamName("arboleda"))
}

// TestFollowerKeepsNewestMark guards against an agent that sends new flows to a
// leaving upstream because a balancer that is behind sent an older mark, and
// against one that never deletes a mark whose revocation it did not receive.
func TestFollowerKeepsNewestMark(t *testing.T) {
	is := is.New(t)
	follower := newFollower(t)
	deliverReply(follower, followReply(team, 1), plainSection())
	now := second
	for _, step := range []struct {
		name  string
		wait  time.Duration
		marks []hickorymessage.LeavingMark
		// want is the state that is put in force; nil when nothing changes.
		want []hickorymodel.UpstreamState
	}{
		{"leaving", 0, []hickorymessage.LeavingMark{{Upstream: leavingUpstream, Sequence: 3, Leaving: true}}, []hickorymodel.UpstreamState{hickorymodel.UpstreamLeaving}},
		{"older mark", 0, []hickorymessage.LeavingMark{{Upstream: leavingUpstream, Sequence: 2, Leaving: false}}, nil},
		{"no mark", time.Second, nil, nil},
		{"revoked", 0, []hickorymessage.LeavingMark{{Upstream: leavingUpstream, Sequence: 4, Leaving: false}}, []hickorymodel.UpstreamState{hickorymodel.UpstreamAccepting}},
		{"leaving again", 0, []hickorymessage.LeavingMark{{Upstream: leavingUpstream, Sequence: 5, Leaving: true}}, []hickorymodel.UpstreamState{hickorymodel.UpstreamLeaving}},
		{"deleted after MarkRevokeDelay", hickoryconfig.MarkRevokeDelay, nil, []hickorymodel.UpstreamState{hickorymodel.UpstreamAccepting}},
	} {
		now = now.Add(step.wait)
		reply := followReply(team, 1)
		reply.Marks = step.marks
		follower.HandleFollowReply(now, now, balancerControl, reply)
		var states []hickorymodel.UpstreamState
		for _, action := range follower.Tick(now) {
			for _, service := range action.Services {
				states = append(states, service.Upstreams[1].State)
			}
		}
		t.Log(step.name)
		is.Equal(states, step.want)
	}
}
