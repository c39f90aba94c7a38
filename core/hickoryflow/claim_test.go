package hickoryflow_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickoryflow"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// claimFixture has the agent of the only accepting upstream, beside many leaving ones.
type claimFixture struct {
	is      *is.I
	tracker *hickoryflow.Tracker
	now     hickorymodel.Instant
	// silent is the largest number of silent candidates that a query has named.
	silent int
	// asked are the agents that were queried.
	asked map[hickorymodel.Endpoint]bool
	// delivered counts the packets that the agent has delivered as the owner of the flow.
	delivered int
}

func newClaimFixture(t *testing.T, leaving int) *claimFixture {
	f := &claimFixture{is: is.New(t), now: hickorymodel.Instant(time.Hour), asked: map[hickorymodel.Endpoint]bool{}}
	service := registerService(leaving + 1)
	for i := range leaving {
		service.Upstreams[i+1].State = hickorymodel.UpstreamLeaving
	}
	self := service.Upstreams[0]
	f.tracker = hickoryflow.NewTracker(self.Endpoint, self.ID, rand.New(rand.NewPCG(1, 1)))
	f.tracker.SetService(service, nil)
	return f
}

// open passes the first packet of a flow to the agent, which may have another owner.
func (f *claimFixture) open(reply func(agent hickorymodel.Endpoint) *hickorymessage.OwnerReply) {
	packet := &hickoryflow.Packet{Key: testKey(1000), First: true, Payload: []byte{1}}
	packet.Service, packet.Generation, packet.Flags = 1, 1, hickoryflow.FlagTransition
	packet.Candidates[0] = hickorymodel.Candidate{Endpoint: hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, 1}, Port: 6081}, State: hickorymodel.CandidateAccepting}
	f.exchange(f.tracker.Handle(f.now, packet), reply)
}

// exchange answers queries until none is left. No reply stands for a silent agent.
func (f *claimFixture) exchange(actions []hickoryflow.Action, reply func(agent hickorymodel.Endpoint) *hickorymessage.OwnerReply) {
	pending := append([]hickoryflow.Action{}, actions...)
	for len(pending) > 0 {
		action := pending[0]
		pending = pending[1:]
		switch {
		case action.Verb == hickoryflow.VerbDeliver:
			f.delivered++
		case action.Verb == hickoryflow.VerbSend && action.Datagram.OwnerQuery != nil:
			f.asked[action.Target] = true
			f.silent = max(f.silent, len(action.Datagram.OwnerQuery.Silent))
			if answer := reply(action.Target); answer != nil {
				answer.Query = action.Datagram.OwnerQuery.Query
				message := &hickorymessage.Datagram{OwnerReply: answer}
				pending = append(pending, f.tracker.HandleDatagram(f.now, action.Target, message)...)
			}
		default:
		}
	}
}

func denies(hickorymodel.Endpoint) *hickorymessage.OwnerReply {
	return &hickorymessage.OwnerReply{Status: hickorymessage.OwnerStatusNone}
}

// TestClaimAsksAllAgents guards against a flow with two owners: with more leaving
// upstreams than a claim queried, the owner was not asked, and the flow counted as new.
func TestClaimAsksAllAgents(t *testing.T) {
	const leaving = 40
	f := newClaimFixture(t, leaving)
	f.open(denies)
	f.is.Equal(len(f.asked), leaving)
	f.is.Equal(f.delivered, 1)
}

// TestClaimWaitsForAllAgents guards against a flow with two owners: an agent that is asked
// late and does not answer has not denied the flow.
func TestClaimWaitsForAllAgents(t *testing.T) {
	f := newClaimFixture(t, 40)
	silent := hickorymodel.Endpoint{Address: [4]byte{10, 0, 0, 41}, Port: 6081}
	reply := func(agent hickorymodel.Endpoint) *hickorymessage.OwnerReply {
		if agent == silent {
			return nil
		}
		return denies(agent)
	}
	f.open(reply)
	for range 20 {
		f.now = f.now.Add(hickoryflow.TickInterval)
		f.exchange(f.tracker.Tick(f.now), reply)
	}
	f.is.True(f.asked[silent])
	f.is.Equal(f.delivered, 0)
}

// TestSilentCandidatesOfQuery guards against queries that nobody can decode, since they
// name more silent candidates than the message may have.
func TestSilentCandidatesOfQuery(t *testing.T) {
	f := newClaimFixture(t, 12)
	nobody := func(hickorymodel.Endpoint) *hickorymessage.OwnerReply { return nil }
	for range 3 {
		f.open(nobody)
		for range 20 {
			f.now = f.now.Add(hickoryflow.TickInterval)
			f.exchange(f.tracker.Tick(f.now), nobody)
		}
	}
	f.is.Equal(f.silent, 6)
	f.is.Equal(f.delivered, 0)
}

// TestClaimBeyondBound guards against a flow with two owners when replies name more agents
// than a claim asks, and against queries without end.
func TestClaimBeyondBound(t *testing.T) {
	f := newClaimFixture(t, 1)
	named := byte(0)
	f.open(func(hickorymodel.Endpoint) *hickorymessage.OwnerReply {
		answer := denies(hickorymodel.Endpoint{})
		for range 6 {
			named++
			if named == 0 {
				break
			}
			answer.AlsoAsk = append(answer.AlsoAsk, hickoryid.Endpoint(hickorymodel.Endpoint{Address: [4]byte{10, 7, byte(len(f.asked)), named}, Port: 6081}.String()))
		}
		return answer
	})
	f.is.True(len(f.asked) < 2000)
	f.is.Equal(f.delivered, 0)
}
