package hickorymetric

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"

	"hickoryworks/schema/hickoryid"
)

const (
	// reportInterval is the time between two updates of the page by tally.
	reportInterval = time.Second
	headerTimeout  = time.Second
	// pagePath is the path that Prometheus reads by default.
	pagePath = "/metrics"
	prefix   = "hickory"
)

// Exporter serves the metrics of one program as a page in the text format of
// Prometheus. The metrics are counted in a tally scope.
type Exporter struct {
	listener net.Listener
	handler  http.Handler
	scope    tally.Scope
	closer   io.Closer
}

// Listen opens the socket of the page. All metrics have the instance as a label.
func Listen(endpoint hickoryid.Endpoint, instance hickoryid.InstanceID) (*Exporter, error) {
	listener, err := net.Listen("tcp", string(endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "open metrics socket %s", endpoint)
	}
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         prefix,
		Tags:           map[string]string{"instance": string(instance)},
		CachedReporter: reporter,
		Separator:      tallyprometheus.DefaultSeparator,
	}, reportInterval)
	mux := http.NewServeMux()
	mux.Handle("GET "+pagePath, reporter.HTTPHandler())
	return &Exporter{listener: listener, handler: mux, scope: scope, closer: closer}, nil
}

// Scope returns the scope whose metrics are exported.
func (e *Exporter) Scope() tally.Scope {
	return e.scope
}

// Endpoint returns the address of the page.
func (e *Exporter) Endpoint() hickoryid.Endpoint {
	return hickoryid.Endpoint(e.listener.Addr().String())
}

// Serve answers requests for the page until the context ends.
func (e *Exporter) Serve(ctx context.Context) error {
	server := &http.Server{Handler: e.handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
	})
	defer stop()
	return errors.Wrap(server.Serve(e.listener), "serve metrics")
}

// Close closes the socket and ends the updates of the page.
func (e *Exporter) Close() error {
	_ = e.listener.Close()
	return errors.Wrap(e.closer.Close(), "close metrics")
}
