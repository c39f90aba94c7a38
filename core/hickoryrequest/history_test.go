package hickoryrequest_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickoryrequest"
	"hickoryworks/schema/hickorymessage"
)

const agentSlots = 6

// historyOp is the input of one operation of the history: either a run of a request
// at the upstream, or the whole request at its caller, whose output is the outcome.
type historyOp struct {
	request hickorymessage.RequestID
	run     bool
}

// requestState is the state of the model for one request: the number of its runs,
// and whether its caller got the outcome notRun.
type requestState struct {
	runs    int
	refused bool
}

// atMostOnce is the model of one request: it runs at most once, it does not run if
// its outcome is notRun, and it has run if its outcome is done.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byRequest := map[hickorymessage.RequestID][]porcupine.Operation{}
		for _, operation := range history {
			id := operation.Input.(historyOp).request
			byRequest[id] = append(byRequest[id], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byRequest {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return requestState{} },
	Step: func(state, input, output any) (bool, any) {
		s := state.(requestState)
		if input.(historyOp).run {
			s.runs++
			return s.runs == 1 && !s.refused, s
		}
		switch output.(hickorymessage.Outcome) {
		case hickorymessage.OutcomeNotRun:
			s.refused = true
			return s.runs == 0, s
		case hickorymessage.OutcomeDone:
			return s.runs == 1, s
		default:
			return true, s
		}
	},
}

// scheduledEvent is a function that is called at a point in virtual time. Events of
// the same time are called by ascending order.
type scheduledEvent struct {
	at    hickorymodel.Instant
	order int
	do    func(hickorymodel.Instant)
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (s eventQueue) Len() int      { return len(s) }
func (s eventQueue) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *eventQueue) Push(x any)   { *s = append(*s, x.(scheduledEvent)) }

func (s eventQueue) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

func (s *eventQueue) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// simulation connects one caller to one agent over a network that loses, delays and
// duplicates datagrams. The agent loses its ledger when it restarts.
type simulation struct {
	random  *rand.Rand
	now     hickorymodel.Instant
	pending eventQueue
	count   int
	caller  *hickoryrequest.Caller
	runner  *hickoryrequest.Runner
	// certainSince is the time of the agent's last restart.
	certainSince hickorymodel.Instant
	bodies       map[hickorymessage.RequestID]string
	startedAt    map[hickorymessage.RequestID]hickorymodel.Instant
	history      []porcupine.Operation
	mismatched   []string
	outcomes     map[hickorymessage.Outcome]int
}

func (sim *simulation) after(delay time.Duration, do func(hickorymodel.Instant)) {
	sim.count++
	heap.Push(&sim.pending, scheduledEvent{at: sim.now.Add(delay), order: sim.count, do: do})
}

// transmit delivers a datagram 0, 1 or 2 times, each copy after a delay of its own.
func (sim *simulation) transmit(do func(hickorymodel.Instant)) {
	copies := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[sim.random.IntN(10)]
	for range copies {
		sim.after(time.Duration(sim.random.Int64N(int64(2*time.Second))), do)
	}
}

func (sim *simulation) run(until hickorymodel.Instant) {
	for len(sim.pending) > 0 {
		next, ok := heap.Pop(&sim.pending).(scheduledEvent)
		if !ok || until.Before(next.at) {
			return
		}
		sim.now = next.at
		next.do(sim.now)
	}
}

func (sim *simulation) transmitParts(sends []hickoryrequest.OutgoingPart) {
	for _, send := range sends {
		sim.transmit(func(now hickorymodel.Instant) {
			sim.perform(sim.runner.Receive(now, hickoryrequest.Part{
				Request:      send.Part.Request,
				Attempt:      send.Part.Attempt,
				Index:        send.Part.Part,
				Count:        send.Part.Parts,
				Remaining:    time.Duration(send.Part.RemainingMillis) * time.Millisecond,
				Age:          time.Duration(send.Part.AgeMillis) * time.Millisecond,
				Cancel:       send.Part.Cancel,
				Body:         send.Body,
				CertainSince: sim.certainSince,
			}))
		})
	}
}

func (sim *simulation) perform(actions []hickoryrequest.Action) {
	for _, action := range append([]hickoryrequest.Action(nil), actions...) {
		switch action.Verb {
		case hickoryrequest.VerbRun:
			sim.record(historyOp{request: action.Request, run: true}, sim.now, hickorymessage.OutcomeDone)
			answer := "answer to " + string(action.Body)
			runner := sim.runner
			sim.after(time.Duration(sim.random.Int64N(int64(time.Second))), func(now hickorymodel.Instant) {
				if runner == sim.runner {
					sim.perform(runner.ReceiveAnswer(now, action.Request, []byte(answer)))
				}
			})
		case hickoryrequest.VerbRespond:
			sim.respond(action)
		default:
		}
	}
}

func (sim *simulation) respond(action hickoryrequest.Action) {
	parts, err := hickoryrequest.Split(action.Body)
	if err != nil {
		panic(err)
	}
	for i, body := range parts {
		sim.transmit(func(now hickorymodel.Instant) {
			result, ended := sim.caller.Receive(hickorymessage.ResponsePart{
				Request: action.Request, Outcome: action.Outcome, Reason: action.Reason, Part: i, Parts: len(parts),
			}, body)
			if ended {
				sim.end(result)
			}
			_ = now
		})
	}
}

func (sim *simulation) end(result hickoryrequest.Result) {
	sim.outcomes[result.Outcome]++
	sim.record(historyOp{request: result.Request}, sim.startedAt[result.Request], result.Outcome)
	want := "answer to " + sim.bodies[result.Request]
	if result.Outcome == hickorymessage.OutcomeDone && string(result.Body) != want {
		sim.mismatched = append(sim.mismatched, string(result.Request))
	}
}

func (sim *simulation) record(input historyOp, call hickorymodel.Instant, outcome hickorymessage.Outcome) {
	sim.history = append(sim.history, porcupine.Operation{
		Input: input, Output: outcome, Call: int64(call), Return: int64(sim.now),
	})
}

// simulate runs requests for some minutes of virtual time. With overstateCertainty,
// CertainSince stays before the restarts of the agent, although each restart loses
// the ledger.
func simulate(seed uint64, overstateCertainty bool) *simulation {
	random := rand.New(rand.NewPCG(seed, seed))
	sim := &simulation{
		random:    random,
		now:       start,
		caller:    hickoryrequest.NewCaller(random),
		runner:    hickoryrequest.NewRunner(agentSlots),
		bodies:    map[hickorymessage.RequestID]string{},
		startedAt: map[hickorymessage.RequestID]hickorymodel.Instant{},
		outcomes:  map[hickorymessage.Outcome]int{},
	}
	for i := range 200 {
		sim.after(time.Duration(i)*300*time.Millisecond, func(now hickorymodel.Instant) {
			body := fmt.Sprintf("order %d %s", i, strings.Repeat("x", random.IntN(3000)))
			id, sends, err := sim.caller.Start(now, []byte(body), false, 8*time.Second)
			if err != nil {
				panic(err)
			}
			sim.bodies[id] = body
			sim.startedAt[id] = now
			sim.transmitParts(sends)
		})
	}
	for i := range 12_000 {
		sim.after(time.Duration(i)*10*time.Millisecond, func(now hickorymodel.Instant) {
			sim.perform(sim.runner.Tick(now))
			sends, results := sim.caller.Tick(now)
			sim.transmitParts(sends)
			for _, result := range results {
				sim.end(result)
			}
		})
	}
	for i := range 5 {
		sim.after(time.Duration(i*13+7)*time.Second, func(now hickorymodel.Instant) {
			sim.runner = hickoryrequest.NewRunner(agentSlots)
			if !overstateCertainty {
				sim.certainSince = now
			}
		})
	}
	sim.run(start.Add(3 * time.Minute))
	return sim
}

// TestRequestsRunAtMostOnce guards against a request that runs twice or runs after
// the outcome notRun, and against a response that is incomplete or belongs to
// another request (guarantees P5, P6 and P7). The network loses, delays and duplicates
// datagrams, and the agent restarts and loses its ledger.
func TestRequestsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			sim := simulate(seed, false)
			is.Equal(sim.mismatched, nil) // each response belongs to its request and is complete
			is.True(porcupine.CheckOperations(atMostOnce, sim.history))
			is.Equal(len(sim.bodies), 200)
			is.True(sim.outcomes[hickorymessage.OutcomeDone] > 50) // enough requests ran for the check to be meaningful
		})
	}
}

// TestHistoryCheckFindsSecondRun guards against a history check that cannot fail: it
// must find a second run when CertainSince lies before a restart that lost the
// ledger.
func TestHistoryCheckFindsSecondRun(t *testing.T) {
	is := is.New(t)
	found := 0
	for seed := range uint64(10) {
		if !porcupine.CheckOperations(atMostOnce, simulate(seed, true).history) {
			found++
		}
	}
	t.Logf("violations found with %d of 10 seeds", found)
	is.True(found > 0)
}
