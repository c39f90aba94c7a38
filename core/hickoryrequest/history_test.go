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

// historyOp is one event of a request: a run at the upstream, or the whole life
// of the request at its caller with the outcome.
type historyOp struct {
	request hickorymessage.RequestID
	run     bool
}

// requestState is what may have happened to one request so far.
type requestState struct {
	runs    int
	refused bool
}

// atMostOnce allows one run, none after a refusal that says so, and a done
// outcome only after a run.
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

// delivery is one event of the network that is on its way.
type delivery struct {
	at    hickorymodel.Instant
	order int
	do    func(hickorymodel.Instant)
}

// schedule is a heap of deliveries.
type schedule []delivery

func (s schedule) Len() int      { return len(s) }
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(delivery)) }

func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

func (s *schedule) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// world joins one caller and one agent that restarts without its ledger, over a
// network that loses, delays and repeats datagrams.
type world struct {
	random  *rand.Rand
	now     hickorymodel.Instant
	pending schedule
	count   int
	caller  *hickoryrequest.Caller
	runner  *hickoryrequest.Runner
	// certainSince is the time of the agent's last restart.
	certainSince hickorymodel.Instant
	bodies       map[hickorymessage.RequestID]string
	startedAt    map[hickorymessage.RequestID]hickorymodel.Instant
	history      []porcupine.Operation
	wrong        []string
	outcomes     map[hickorymessage.Outcome]int
}

func (w *world) after(delay time.Duration, do func(hickorymodel.Instant)) {
	w.count++
	heap.Push(&w.pending, delivery{at: w.now.Add(delay), order: w.count, do: do})
}

// network delivers a datagram not at all, once or twice, each after its own delay.
func (w *world) network(do func(hickorymodel.Instant)) {
	copies := []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.random.IntN(10)]
	for range copies {
		w.after(time.Duration(w.random.Int64N(int64(2*time.Second))), do)
	}
}

func (w *world) run(until hickorymodel.Instant) {
	for len(w.pending) > 0 {
		next, ok := heap.Pop(&w.pending).(delivery)
		if !ok || until.Before(next.at) {
			return
		}
		w.now = next.at
		next.do(w.now)
	}
}

func (w *world) sendAll(sends []hickoryrequest.OutgoingPart) {
	for _, send := range sends {
		w.network(func(now hickorymodel.Instant) {
			w.perform(w.runner.Receive(now, hickoryrequest.Part{
				Request:      send.Part.Request,
				Attempt:      send.Part.Attempt,
				Index:        send.Part.Part,
				Count:        send.Part.Parts,
				Remaining:    time.Duration(send.Part.RemainingMillis) * time.Millisecond,
				Age:          time.Duration(send.Part.AgeMillis) * time.Millisecond,
				Cancel:       send.Part.Cancel,
				Body:         send.Body,
				CertainSince: w.certainSince,
			}))
		})
	}
}

func (w *world) perform(actions []hickoryrequest.Action) {
	for _, action := range append([]hickoryrequest.Action(nil), actions...) {
		switch action.Verb {
		case hickoryrequest.VerbRun:
			w.record(historyOp{request: action.Request, run: true}, w.now, hickorymessage.OutcomeDone)
			answer := "answer to " + string(action.Body)
			runner := w.runner
			w.after(time.Duration(w.random.Int64N(int64(time.Second))), func(now hickorymodel.Instant) {
				if runner == w.runner {
					w.perform(runner.ReceiveAnswer(now, action.Request, []byte(answer)))
				}
			})
		case hickoryrequest.VerbRespond:
			w.respond(action)
		default:
		}
	}
}

func (w *world) respond(action hickoryrequest.Action) {
	parts, err := hickoryrequest.Split(action.Body)
	if err != nil {
		panic(err)
	}
	for i, body := range parts {
		w.network(func(now hickorymodel.Instant) {
			result, ended := w.caller.Receive(hickorymessage.ResponsePart{
				Request: action.Request, Outcome: action.Outcome, Reason: action.Reason, Part: i, Parts: len(parts),
			}, body)
			if ended {
				w.end(result)
			}
			_ = now
		})
	}
}

func (w *world) end(result hickoryrequest.Result) {
	w.outcomes[result.Outcome]++
	w.record(historyOp{request: result.Request}, w.startedAt[result.Request], result.Outcome)
	want := "answer to " + w.bodies[result.Request]
	if result.Outcome == hickorymessage.OutcomeDone && string(result.Body) != want {
		w.wrong = append(w.wrong, string(result.Request))
	}
}

func (w *world) record(input historyOp, call hickorymodel.Instant, outcome hickorymessage.Outcome) {
	w.history = append(w.history, porcupine.Operation{
		Input: input, Output: outcome, Call: int64(call), Return: int64(w.now),
	})
}

// runWorld runs requests for some minutes of virtual time. With forgetful set,
// a restarted agent wrongly vouches for the time before its restart.
func runWorld(seed uint64, forgetful bool) *world {
	random := rand.New(rand.NewPCG(seed, seed))
	w := &world{
		random:    random,
		now:       start,
		caller:    hickoryrequest.NewCaller(random),
		runner:    hickoryrequest.NewRunner(agentSlots),
		bodies:    map[hickorymessage.RequestID]string{},
		startedAt: map[hickorymessage.RequestID]hickorymodel.Instant{},
		outcomes:  map[hickorymessage.Outcome]int{},
	}
	for i := range 200 {
		w.after(time.Duration(i)*300*time.Millisecond, func(now hickorymodel.Instant) {
			body := fmt.Sprintf("order %d %s", i, strings.Repeat("x", random.IntN(3000)))
			id, sends, err := w.caller.Start(now, []byte(body), false, 8*time.Second)
			if err != nil {
				panic(err)
			}
			w.bodies[id] = body
			w.startedAt[id] = now
			w.sendAll(sends)
		})
	}
	for i := range 12_000 {
		w.after(time.Duration(i)*10*time.Millisecond, func(now hickorymodel.Instant) {
			w.perform(w.runner.Tick(now))
			sends, results := w.caller.Tick(now)
			w.sendAll(sends)
			for _, result := range results {
				w.end(result)
			}
		})
	}
	for i := range 5 {
		w.after(time.Duration(i*13+7)*time.Second, func(now hickorymodel.Instant) {
			w.runner = hickoryrequest.NewRunner(agentSlots)
			if !forgetful {
				w.certainSince = now
			}
		})
	}
	w.run(start.Add(3 * time.Minute))
	return w
}

// TestRequestsRunAtMostOnce guards P5, P6 and P7 under loss, delay, repetition
// and restarts of the agent.
func TestRequestsRunAtMostOnce(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			is := is.New(t)
			w := runWorld(seed, false)
			is.Equal(w.wrong, nil) // each answer belongs to its request and is whole
			is.True(porcupine.CheckOperations(atMostOnce, w.history))
			is.Equal(len(w.bodies), 200)
			is.True(w.outcomes[hickorymessage.OutcomeDone] > 50) // the check has something to check
		})
	}
}

// TestHistoryCheckFindsSecondRun shows that the check fails when an agent
// vouches for a time of which it has lost the ledger.
func TestHistoryCheckFindsSecondRun(t *testing.T) {
	is := is.New(t)
	found := 0
	for seed := range uint64(10) {
		if !porcupine.CheckOperations(atMostOnce, runWorld(seed, true).history) {
			found++
		}
	}
	t.Logf("violations found with %d of 10 seeds", found)
	is.True(found > 0)
}
