package hickoryagent

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorysettings"
)

// hang as an answer of the test server stands for an endpoint that never answers.
const hang = "hang"

// TestEndpointAnswers guards against a share that rises, or returns to 1, because
// an endpoint gives an invalid answer, no answer or one that does not end.
func TestEndpointAnswers(t *testing.T) {
	const healthServing, busy = `{"state":"serving"}`, `{"busy":3,"queued":1,"connections":9}`
	cases := []struct {
		name string
		// answers are the pairs of health and load answers, one for each read. An
		// empty one is sent as status 503.
		answers [][2]string
		// want are the shares passed on after each read; -1 stands for none.
		want []float64
	}{
		{"serves", [][2]string{{healthServing, `{"busy":1,"queued":0,"connections":1}`}}, []float64{1}},
		{"queue", [][2]string{{healthServing, busy}}, []float64{0.75}},
		{"cold, then serves", [][2]string{{`{"state":"cold"}`, busy}, {healthServing, busy}}, []float64{0, 0.75}},
		{"low, then disappears", [][2]string{{healthServing, busy}, {healthServing, ""}, {"", ""}}, []float64{0.75, 0.75, -1}},
		{"garbage", [][2]string{{"<html>", `{"busy":-1,"queued":0,"connections":0}`}}, []float64{-1}},
		{"unknown state", [][2]string{{`{"state":"best"}`, `{}`}}, []float64{-1}},
		{"reports more busy slots than any upstream has", [][2]string{{healthServing, `{"busy":9e99,"queued":0,"connections":0}`}}, []float64{1}},
		{"endless", [][2]string{{strings.Repeat(" ", 1<<20) + healthServing, busy}}, []float64{0.75}},
		{"hangs", [][2]string{{hang, busy}, {hang, hang}}, []float64{0.75, -1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r, answers := newTestReader(t)
			for i, want := range c.want {
				answers.Store(&c.answers[i])
				r.readAll(t.Context())
				got := -1.0 // no share was passed on
				select {
				case got = <-r.shares.Items():
				default:
				}
				is.Equal(got, want)
			}
		})
	}
}

// TestEndpointReadsDoNotBlock guards against a reader that blocks while the decide
// duty does not read the ring. It also guards against a fixed time between reads,
// with which all agents could read at the same time.
func TestEndpointReadsDoNotBlock(t *testing.T) {
	is := is.New(t)
	r, answers := newTestReader(t)
	answers.Store(&[2]string{`{"state":"serving"}`, `{"busy":1,"queued":1,"connections":1}`})
	waits := map[time.Duration]bool{}
	r.wait = func(_ context.Context, length time.Duration) bool {
		is.True(length >= r.interval*3/4 && length < r.interval*5/4)
		waits[length] = true
		return len(waits) < 10
	}
	is.NoErr(r.run(t.Context())) // no goroutine reads the ring
	is.Equal(len(waits), 10)
	is.Equal(<-r.shares.Items(), 0.5)
}

// TestEndpointSettings guards against a read without a timeout, and against an
// interval of 0, with which the duty would read without a pause.
func TestEndpointSettings(t *testing.T) {
	url := hickoryid.URL("http://127.0.0.1:1/health")
	cases := []struct {
		name              string
		interval, timeout hickoryid.Duration
		valid             bool
	}{
		{"not set", "", "", true},
		{"minimum", "100ms", "10ms", true},
		{"no pause", "0s", "500ms", false},
		{"no timeout", "1s", "0s", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := &Agent{scope: tally.NoopScope, random: rand.New(rand.NewPCG(1, 1)), settings: hickorysettings.Agent{
				HealthURL: &url, EndpointInterval: c.interval, EndpointTimeout: c.timeout,
			}}
			r, err := a.newEndpointReader()
			is.Equal(err == nil, c.valid)
			if err != nil {
				return
			}
			ctx, cancel := r.withTimeout(t.Context())
			defer cancel()
			_, limited := ctx.Deadline()
			is.True(limited)
		})
	}
}

// newTestReader returns a reader of the endpoints of a test server, and the pair of
// health and load answers that the server sends. The timeout of a read ends when
// the server gets the request of an endpoint that hangs.
func newTestReader(t *testing.T) (*endpointReader, *atomic.Pointer[[2]string]) {
	answers := &atomic.Pointer[[2]string]{}
	var cancel atomic.Pointer[context.CancelFunc]
	serve := func(index int) hickoryid.URL {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			switch answer := answers.Load()[index]; answer {
			case "":
				w.WriteHeader(http.StatusServiceUnavailable)
			case hang:
				if end := cancel.Load(); end != nil {
					(*end)() // the timeout of the read has passed
				}
				<-request.Context().Done()
			default:
				_, _ = w.Write([]byte(answer))
			}
		}))
		t.Cleanup(server.Close)
		return hickoryid.URL(server.URL)
	}
	health, load := serve(0), serve(1)
	return &endpointReader{
		healthURL: &health,
		loadURL:   &load,
		interval:  time.Second,
		withTimeout: func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, end := context.WithCancel(ctx)
			cancel.Store(&end)
			return ctx, end
		},
		client:      newEndpointClient(),
		random:      rand.New(rand.NewPCG(1, 1)),
		shares:      hickoryring.NewShareRing(),
		failures:    tally.NoopScope.Counter("endpoint_reads_failed"),
		healthShare: 1,
		loadShare:   1,
	}, answers
}
