package hickoryrequest_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickoryrequest"
	"hickoryworks/schema/hickorymessage"
)

const (
	requestA hickorymessage.RequestID = "000000000000000000000000000000aa"
	requestB hickorymessage.RequestID = "000000000000000000000000000000bb"
	requestC hickorymessage.RequestID = "000000000000000000000000000000cc"
	start                             = hickorymodel.Instant(time.Hour)
)

func part(id hickorymessage.RequestID) hickoryrequest.Part {
	return hickoryrequest.Part{Request: id, Attempt: 1, Count: 1, Remaining: 10 * time.Second, Body: []byte("order")}
}

func retryOf(p hickoryrequest.Part, age time.Duration) hickoryrequest.Part {
	p.Attempt = 2
	p.Age = age
	p.Remaining -= age
	return p
}

// step is one call of a runner and the actions that it must return: Receive if
// receive is set, Tick if tick is set, else ReceiveAnswer.
type step struct {
	receive *hickoryrequest.Part
	answer  hickorymessage.RequestID
	tick    bool
	after   time.Duration
	want    []string
}

// describe returns one line of text for each action.
func describe(actions []hickoryrequest.Action) []string {
	names := map[hickoryrequest.Verb]string{
		hickoryrequest.VerbRun:     "run",
		hickoryrequest.VerbAbandon: "abandon",
		hickoryrequest.VerbRespond: "respond",
	}
	got := []string{}
	for _, action := range actions {
		text := names[action.Verb] + " " + string(action.Request[30:])
		if action.Verb == hickoryrequest.VerbRespond {
			text += " " + string(action.Outcome) + " " + action.Reason
		}
		got = append(got, text)
	}
	return got
}

// TestRunner guards against a request that runs twice after a retry, a restart or a
// cancellation, and against the outcome notRun for a request that may have run.
func TestRunner(t *testing.T) {
	a, b, c := part(requestA), part(requestB), part(requestC)
	retryA := retryOf(a, time.Second)
	uncertainRetryA := retryA
	uncertainRetryA.CertainSince = start
	idempotentRetryA := uncertainRetryA
	idempotentRetryA.Idempotent = true
	cancelA := retryA
	cancelA.Cancel = true
	uncertainCancelA := cancelA
	uncertainCancelA.CertainSince = start
	cancelB := retryOf(b, time.Second)
	cancelB.Cancel = true
	expiredA := part(requestA)
	expiredA.Remaining = 0
	tests := []struct {
		name  string
		steps []step
	}{
		{"runs and answers", []step{
			{receive: &a, want: []string{"run aa"}},
			{answer: requestA, want: []string{"respond aa done "}},
		}},
		{"retry while running does not run again", []step{
			{receive: &a, want: []string{"run aa"}},
			{receive: &retryA, want: []string{}},
		}},
		{"retry after the answer gets the same answer", []step{
			{receive: &a, want: []string{"run aa"}},
			{answer: requestA, want: []string{"respond aa done "}},
			{receive: &retryA, want: []string{"respond aa done "}},
		}},
		{"retry of a request that may have run before a restart is unknown", []step{
			{receive: &uncertainRetryA, want: []string{"respond aa unknown ledgerLost"}},
		}},
		{"idempotent retry runs although the request may have run before", []step{
			{receive: &idempotentRetryA, want: []string{"run aa"}},
		}},
		{"retry of a request that certainly has not run is run", []step{
			{receive: &retryA, want: []string{"run aa"}},
		}},
		{"one slot, next request waits", []step{
			{receive: &a, want: []string{"run aa"}},
			{receive: &b, want: []string{}},
			{answer: requestA, want: []string{"respond aa done ", "run bb"}},
		}},
		{"deadline in the queue is not run", []step{
			{receive: &a, want: []string{"run aa"}},
			{receive: &b, want: []string{}},
			{tick: true, after: 11 * time.Second, want: []string{
				"abandon aa", "respond aa unknown deadline", "respond bb notRun deadline",
			}},
		}},
		{"cancellation in the queue is not run", []step{
			{receive: &a, want: []string{"run aa"}},
			{receive: &b, want: []string{}},
			{receive: &cancelB, want: []string{"respond bb notRun canceled"}},
			{answer: requestA, want: []string{"respond aa done "}},
		}},
		{"cancellation while running is unknown", []step{
			{receive: &a, want: []string{"run aa"}},
			{receive: &cancelA, want: []string{"abandon aa", "respond aa unknown canceled"}},
			{answer: requestA, want: []string{}},
			{receive: &c, want: []string{"run cc"}},
		}},
		{"cancellation that overtakes its request", []step{
			{receive: &cancelA, want: []string{"respond aa notRun canceled"}},
			{receive: &a, want: []string{"respond aa notRun canceled"}},
		}},
		{"cancellation after a restart is unknown", []step{
			{receive: &uncertainCancelA, want: []string{"respond aa unknown canceled"}},
		}},
		{"refused request stays refused when a retry arrives", []step{
			{receive: &expiredA, want: []string{"respond aa notRun deadline"}},
			{receive: &retryA, want: []string{"respond aa notRun deadline"}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			runner := hickoryrequest.NewRunner(1)
			now := start
			for _, s := range test.steps {
				now = now.Add(s.after)
				switch {
				case s.receive != nil:
					is.Equal(describe(runner.Receive(now, *s.receive)), s.want)
				case s.tick:
					is.Equal(describe(runner.Tick(now)), s.want)
				default:
					is.Equal(describe(runner.ReceiveAnswer(now, s.answer, []byte("ok"))), s.want)
				}
			}
		})
	}
}

// TestRunnerBoundsItsQueue guards against a queue so long that requests wait in it
// until their deadlines have passed.
func TestRunnerBoundsItsQueue(t *testing.T) {
	is := is.New(t)
	runner := hickoryrequest.NewRunner(2)
	refused := 0
	for i := range 20 {
		p := part(hickorymessage.RequestID([]byte("0000000000000000000000000000000" + string(rune('a'+i)))))
		for _, action := range runner.Receive(start, p) {
			if action.Outcome == hickorymessage.OutcomeNotRun {
				refused++
			}
		}
	}
	is.Equal(runner.OpenRequests(), 10) // 2 slots and 4 waiting for each
	is.Equal(refused, 10)
}
