package hickoryfabric

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
)

// readinessTimeout bounds the head of one question.
const readinessTimeout = time.Second

// readiness answers the fabric's readiness check.
type readiness struct {
	listener net.Listener
	handler  http.Handler
}

func listenReadiness(endpoint hickoryid.Endpoint, handler http.Handler) (*readiness, error) {
	listener, err := net.Listen("tcp", string(endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "open readiness socket %s", endpoint)
	}
	return &readiness{listener: listener, handler: handler}, nil
}

// serve answers until the context ends.
func (r *readiness) serve(ctx context.Context) error {
	server := &http.Server{Handler: r.handler, ReadHeaderTimeout: readinessTimeout}
	stop := context.AfterFunc(ctx, func() {
		_ = server.Close()
	})
	defer stop()
	return errors.Wrap(server.Serve(r.listener), "serve readiness")
}

// Close ends the socket of a server that was never served.
func (r *readiness) Close() error {
	err := r.listener.Close()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.Wrap(err, "close readiness socket")
}
