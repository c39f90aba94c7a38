package hickoryagent

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickoryadmission"
	"hickoryworks/io/hickoryring"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorypayload"
)

const (
	// Defaults for settings that were not read from a file.
	defaultEndpointInterval = time.Second
	defaultEndpointTimeout  = 500 * time.Millisecond
	// The minimum values keep the reads below 1% of a core.
	minEndpointInterval = 100 * time.Millisecond
	minEndpointTimeout  = 10 * time.Millisecond
	// maxEndpointAnswerBytes bounds the part of an answer that is read. Health and
	// Load take less than 200 bytes.
	maxEndpointAnswerBytes = 4 << 10
)

// endpointReader reads the health and load endpoints of the upstream at an
// interval. It converts each answer to a share of the upstream's capacity, and
// passes the lower one to the decide duty. A failed read changes no share.
type endpointReader struct {
	// healthURL and loadURL are nil for endpoints that the upstream does not have.
	healthURL, loadURL *hickoryid.URL
	interval           time.Duration
	client             *http.Client
	random             *rand.Rand
	shares             *hickoryring.ShareRing
	failures           tally.Counter
	// withTimeout returns the context of one read, which ends after the timeout.
	withTimeout func(context.Context) (context.Context, context.CancelFunc)
	// wait returns true after a time, or false as soon as the context has ended.
	wait func(ctx context.Context, length time.Duration) bool

	// healthShare and loadShare are the shares of the last valid answers; 1 before
	// the first one.
	healthShare, loadShare float64
}

// addEndpoints adds the duty that reads the upstream's health and load endpoints
// if the settings name one.
func (a *Agent) addEndpoints() error {
	if a.settings.HealthURL == nil && a.settings.LoadURL == nil {
		return nil
	}
	r, err := a.newEndpointReader()
	if err != nil {
		return err
	}
	a.group.Add("endpoints", r.run)
	return nil
}

func (a *Agent) newEndpointReader() (*endpointReader, error) {
	interval := a.settings.EndpointInterval.Value()
	if a.settings.EndpointInterval == "" {
		interval = defaultEndpointInterval
	}
	timeout := a.settings.EndpointTimeout.Value()
	if a.settings.EndpointTimeout == "" {
		timeout = defaultEndpointTimeout
	}
	if interval < minEndpointInterval {
		return nil, errors.Errorf("settings: endpointInterval %s is below the minimum of %s", interval, minEndpointInterval)
	}
	if timeout < minEndpointTimeout {
		return nil, errors.Errorf("settings: endpointTimeout %s is below the minimum of %s", timeout, minEndpointTimeout)
	}
	return &endpointReader{
		healthURL: a.settings.HealthURL,
		loadURL:   a.settings.LoadURL,
		interval:  interval,
		client:    newEndpointClient(),
		random:    rand.New(rand.NewPCG(a.random.Uint64(), a.random.Uint64())),
		shares:    a.shares,
		failures:  a.scope.Counter("endpoint_reads_failed"),
		wait:      waitFor,
		withTimeout: func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, timeout)
		},
		healthShare: 1,
		loadShare:   1,
	}, nil
}

// newEndpointClient returns a client that follows no redirects, since another
// host than the upstream's could answer.
func newEndpointClient() *http.Client {
	return &http.Client{
		Transport: &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

func waitFor(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (r *endpointReader) run(ctx context.Context) error {
	for r.wait(ctx, r.nextWait()) {
		r.readAll(ctx)
	}
	return ctx.Err()
}

// nextWait returns the interval, randomly changed by up to a quarter of it either
// way, so that agents do not all read at the same time.
func (r *endpointReader) nextWait() time.Duration {
	return r.interval*3/4 + time.Duration(r.random.Int64N(int64(r.interval/2)))
}

func (r *endpointReader) readAll(ctx context.Context) {
	var health hickorypayload.Health
	var load hickorypayload.Load
	healthRead := r.read(ctx, r.healthURL, &health)
	if healthRead {
		r.healthShare = hickoryadmission.HealthShare(health)
	}
	loadRead := r.read(ctx, r.loadURL, &load)
	if loadRead {
		r.loadShare = hickoryadmission.LoadShare(load)
	}
	if healthRead || loadRead {
		r.shares.Put(min(r.healthShare, r.loadShare))
	}
}

// read decodes the answer of an endpoint into answer. It reports whether the
// upstream has the endpoint and gave a valid answer.
func (r *endpointReader) read(ctx context.Context, url *hickoryid.URL, answer any) bool {
	if url == nil {
		return false
	}
	if err := r.get(ctx, string(*url), answer); err != nil {
		r.failures.Inc(1)
		return false
	}
	return true
}

func (r *endpointReader) get(ctx context.Context, url string, answer any) error {
	ctx, cancel := r.withTimeout(ctx)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return errors.Wrapf(err, "read %s", url)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return errors.Wrapf(err, "read %s", url)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("read %s: status %s", url, response.Status)
	}
	body := io.LimitReader(response.Body, maxEndpointAnswerBytes)
	return errors.Wrapf(json.NewDecoder(body).Decode(answer), "read %s", url)
}
