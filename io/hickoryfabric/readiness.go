package hickoryfabric

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
)

// readinessHeaderTimeout bounds the time to read the header of one request.
const readinessHeaderTimeout = time.Second

// readinessServer answers the fabric's readiness check over HTTP.
type readinessServer struct {
	listener net.Listener
	handler  http.Handler
}

func listenReadiness(endpoint hickoryid.Endpoint, handler http.Handler) (*readinessServer, error) {
	listener, err := net.Listen("tcp", string(endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "open readiness socket %s", endpoint)
	}
	return &readinessServer{listener: listener, handler: handler}, nil
}

// serve answers requests until the context ends.
func (r *readinessServer) serve(ctx context.Context) error {
	server := &http.Server{Handler: r.handler, ReadHeaderTimeout: readinessHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
	})
	defer stop()
	return errors.Wrap(server.Serve(r.listener), "serve readiness")
}

// Close closes the listener, unless serve has closed it.
func (r *readinessServer) Close() error {
	err := r.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close readiness socket")
}
