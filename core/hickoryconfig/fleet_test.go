package hickoryconfig_test

import (
	"container/heap"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

const (
	second = hickorymodel.Instant(time.Second)
	// callTimeout is the timeout of the simulated RPC client, linkDelay the delay of
	// the simulated network in one direction.
	callTimeout = time.Second
	linkDelay   = 4 * time.Millisecond
	// rpcEnvelope is the size of a JSON-RPC request or reply without its message.
	rpcEnvelope = 60
)

// event is a function that runs at a time of the simulation.
type event struct {
	at    hickorymodel.Instant
	order int
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// fleet simulates balancers, the network between them and the configuration
// service, in virtual time.
type fleet struct {
	now     hickorymodel.Instant
	queue   eventHeap
	order   int
	random  *rand.Rand
	options []hickoryconfig.NodeOption

	service  *service
	machines []*machine
	byPeer   map[hickoryid.Endpoint]*machine
	// loss is the probability that a message is lost.
	loss float64
	// cut reports whether two machines can't reach each other.
	cut func(a, b *machine) bool
	// applied is called when a machine puts services in force.
	applied func(m *machine, services []hickorymodel.Service)
	// countBytes makes the fleet encode all messages.
	countBytes bool
	// without holds the rules that are switched off in processes that start.
	without hickoryconfig.Rule
	// parsed has the sections of contents that have been decoded or registered.
	parsed map[string]hickorydocument.Section
}

// machine is one simulated balancer. Its memory is lost when it restarts.
type machine struct {
	instance    hickoryplatform.Instance
	node        *hickoryconfig.Node
	lease       hickoryconfig.Lease
	services    []hickorymodel.Service
	pausedUntil hickorymodel.Instant
	down        bool
	// restartCount rises at each restart, so that events of earlier processes are
	// dropped.
	restartCount int
	logEntries   []hickoryconfig.LogEntry
	sent         int
	received     int
}

// seedFlag repeats a run with another seed: go test ./core/hickoryconfig -seed 7.
var seedFlag = flag.Uint64("seed", 20261204, "seed of the random numbers")

func seed(t testing.TB) uint64 {
	t.Logf("seed %d", *seedFlag)
	return *seedFlag
}

func newFleet(t testing.TB, size, zones int) *fleet {
	return newSeededFleet(seed(t), size, zones)
}

func newSeededFleet(seed uint64, size, zones int, options ...hickoryconfig.NodeOption) *fleet {
	f := &fleet{
		now:     second,
		random:  rand.New(rand.NewPCG(seed, uint64(size))),
		options: options,
		byPeer:  map[hickoryid.Endpoint]*machine{},
		cut:     func(_, _ *machine) bool { return false },
		applied: func(*machine, []hickorymodel.Service) {},
		parsed:  map[string]hickorydocument.Section{},
	}
	f.service = newService(f)
	for i := range size {
		m := &machine{instance: hickoryplatform.Instance{
			ID:              hickoryid.InstanceID(fmt.Sprintf("balancer-%04d", i)),
			Role:            hickoryplatform.RoleBalancer,
			Zone:            hickoryid.ZoneName(fmt.Sprintf("tt-north-%c", 'a'+i%zones)),
			Region:          "tt-north",
			State:           hickoryplatform.InstanceStateLive,
			ControlEndpoint: hickoryid.Endpoint(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)),
		}}
		f.machines = append(f.machines, m)
		f.byPeer[m.instance.ControlEndpoint] = m
	}
	for _, m := range f.machines {
		f.start(m)
	}
	return f
}

// start starts the process of a machine, or restarts it without its memory.
func (f *fleet) start(m *machine) {
	m.restartCount++
	m.down = false
	m.services = nil
	m.logEntries = nil
	m.lease = hickoryconfig.Lease{}
	self := hickoryconfig.Identity{Instance: m.instance.ID, Zone: m.instance.Zone, Region: m.instance.Region}
	random := rand.New(rand.NewPCG(f.random.Uint64(), f.random.Uint64()))
	m.node = hickoryconfig.NewNode(self, f.decode, random, f.options...)
	m.node.SwitchOff(f.without)
	list := hickoryplatform.Instances{}
	for _, other := range f.machines {
		list.Instances = append(list.Instances, other.instance)
	}
	offset := time.Duration(f.random.Int64N(int64(hickoryconfig.TickInterval)))
	f.on(m, f.now.Add(offset), func() {
		f.perform(m, m.node.SetInstances(f.now, list))
		f.tick(m)
	})
}

// switchOff switches rules off in all processes from now on.
func (f *fleet) switchOff(rules hickoryconfig.Rule) {
	f.without = rules
	for _, m := range f.machines {
		m.node.SwitchOff(rules)
	}
}

func (f *fleet) tick(m *machine) {
	f.perform(m, m.node.Tick(f.now))
	f.on(m, f.now.Add(hickoryconfig.TickInterval), func() { f.tick(m) })
}

// decode parses contents in JSON; benchmarks register other contents in parsed.
func (f *fleet) decode(content string) (hickorydocument.Section, []hickoryconfig.Problem) {
	if section, ok := f.parsed[content]; ok {
		return section, nil
	}
	var section hickorydocument.Section
	if err := json.Unmarshal([]byte(content), &section); err != nil {
		return section, []hickoryconfig.Problem{{Reason: err.Error()}}
	}
	f.parsed[content] = section
	return section, nil
}

// at runs a function at a time.
func (f *fleet) at(at hickorymodel.Instant, run func()) {
	f.order++
	heap.Push(&f.queue, event{at: at, order: f.order, run: run})
}

// on runs a function in the present process of a machine at a time. When the process
// is paused at that time, the function runs at the end of the pause. It doesn't run
// when the machine has been stopped or restarted.
func (f *fleet) on(m *machine, at hickorymodel.Instant, run func()) {
	restartCount := m.restartCount
	f.at(at, func() {
		switch {
		case m.restartCount != restartCount || m.down:
		case f.now < m.pausedUntil:
			f.on(m, m.pausedUntil, run)
		default:
			run()
		}
	})
}

// runUntil advances the time.
func (f *fleet) runUntil(end hickorymodel.Instant) {
	for len(f.queue) > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(event)
		f.now = max(f.now, next.at)
		next.run()
	}
	f.now = end
}

// run advances the time in steps and calls check after each, until it reports
// true or the time is over.
func (f *fleet) run(duration time.Duration, check func() bool) bool {
	for end := f.now.Add(duration); f.now < end; {
		f.runUntil(f.now.Add(10 * time.Millisecond))
		if check() {
			return true
		}
	}
	return false
}

// perform carries out the actions of a node. It copies them, since calls of the
// node reuse the slice.
func (f *fleet) perform(m *machine, actions []hickoryconfig.Action) {
	for _, action := range append([]hickoryconfig.Action(nil), actions...) {
		switch action.Verb {
		case hickoryconfig.VerbRead:
			f.service.read(m, action.Read)
		case hickoryconfig.VerbApply:
			m.services = action.Services
			f.applied(m, action.Services)
		case hickoryconfig.VerbLog:
			m.logEntries = append(m.logEntries, action.LogEntry)
		default:
			f.call(m, action)
		}
	}
	m.lease = m.node.Lease(f.now)
}

// call delivers a request to a peer and its reply back.
func (f *fleet) call(m *machine, action hickoryconfig.Action) {
	peer := f.byPeer[action.Peer]
	sentAt := f.now
	fail := func() { f.fail(m, action) }
	f.count(m, peer, action.Digest, action.Pull, action.Push)
	if f.lost(m, peer) {
		f.on(m, f.now.Add(callTimeout), fail)
		return
	}
	answered := false
	f.on(peer, f.now.Add(linkDelay), func() {
		handleReply, reply := f.answer(m, peer, action, sentAt)
		f.count(peer, m, reply)
		if !f.lost(m, peer) {
			f.on(m, f.now.Add(linkDelay), func() {
				answered = true
				f.perform(m, handleReply())
			})
		}
	})
	f.on(m, f.now.Add(callTimeout), func() {
		if !answered {
			fail()
		}
	})
}

func (f *fleet) lost(a, b *machine) bool {
	return b.down || f.cut(a, b) || f.random.Float64() < f.loss
}

func (f *fleet) fail(m *machine, action hickoryconfig.Action) {
	if action.Verb == hickoryconfig.VerbPull {
		f.perform(m, m.node.PullFailed(f.now, action.Peer, action.Pull.Team))
		return
	}
	f.perform(m, m.node.CallFailed(f.now, action.Peer))
}

// answer handles a request at the peer. It returns a function that handles the reply
// at the sender, and the reply.
func (f *fleet) answer(m, peer *machine, action hickoryconfig.Action, sentAt hickorymodel.Instant) (func() []hickoryconfig.Action, any) {
	switch action.Verb {
	case hickoryconfig.VerbExchange:
		reply := peer.node.AnswerDigest(f.now, *action.Digest)
		return func() []hickoryconfig.Action {
			return m.node.HandleDigestReply(f.now, sentAt, action.Peer, *action.Digest, reply)
		}, reply
	case hickoryconfig.VerbPull:
		reply := peer.node.AnswerPull(f.now, *action.Pull)
		return func() []hickoryconfig.Action { return m.node.HandlePullReply(f.now, action.Peer, reply) }, reply
	default:
		reply, actions := peer.node.AnswerPush(f.now, *action.Push)
		f.perform(peer, actions)
		return func() []hickoryconfig.Action { return nil }, reply
	}
}

// count adds the bytes of a message to the counters of both machines.
func (f *fleet) count(from, to *machine, messages ...any) {
	if !f.countBytes {
		return
	}
	bytes := rpcEnvelope
	for _, message := range messages {
		if text, _ := json.Marshal(message); string(text) != "null" {
			bytes += len(text)
		}
	}
	from.sent += bytes
	to.received += bytes
}
