package hickorystandin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
)

// Platform is the stand-in for the services of the platform: the configuration
// service, which instances can only read and watch, and the list of instances,
// which is served with a lag.
type Platform struct {
	server   *http.Server
	listener net.Listener
	// ended receives the error of the server when it stops; Close reads it.
	ended chan error
	// configurationRequests counts the reads and watches of the configuration
	// service. A watch counts once, however long it waits.
	configurationRequests atomic.Int64
	// sentBytes counts the bytes of all responses.
	sentBytes atomic.Int64

	mutex sync.Mutex
	// current holds the published values; served holds the values that the
	// service returns, which are older while it is stale.
	current valueSnapshot
	served  valueSnapshot
	stale   bool
	// down makes all requests to both services fail.
	down bool
	// responseDelay delays each response of the configuration service.
	responseDelay time.Duration
	// wake is closed and replaced when the served values or down change.
	wake chan struct{}
	list instanceList
}

// NewPlatform starts a platform on a free loopback port.
func NewPlatform() (*Platform, error) {
	return NewPlatformAt("127.0.0.1:0")
}

// NewPlatformAt starts a platform on a TCP socket.
func NewPlatformAt(endpoint hickoryid.Endpoint) (*Platform, error) {
	listener, err := net.Listen("tcp", string(endpoint))
	if err != nil {
		return nil, errors.Wrapf(err, "open platform socket %s", endpoint)
	}
	p := &Platform{
		listener: listener,
		ended:    make(chan error, 1),
		current:  newValueSnapshot(),
		served:   newValueSnapshot(),
		wake:     make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values", p.serveValues)
	mux.HandleFunc("GET /v1/instances", p.serveInstances)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func(_ context.Context) {
		p.ended <- p.server.Serve(listener)
	}(context.Background())
	return p, nil
}

// Close stops the server and returns its error.
func (p *Platform) Close() error {
	if err := p.server.Close(); err != nil {
		return errors.Wrap(err, "close platform")
	}
	if err := <-p.ended; !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve platform")
	}
	return nil
}

// ConfigurationURL returns the address of the configuration service.
func (p *Platform) ConfigurationURL() hickoryid.URL {
	return hickoryid.URL("http://" + p.listener.Addr().String() + "/v1/values")
}

// InstancesURL returns the address of the instance list.
func (p *Platform) InstancesURL() hickoryid.URL {
	return hickoryid.URL("http://" + p.listener.Addr().String() + "/v1/instances")
}

// ConfigurationRequests returns the number of requests to the configuration
// service so far.
func (p *Platform) ConfigurationRequests() int64 {
	return p.configurationRequests.Load()
}

// SetDown makes both services fail with status 503, or work again.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
	p.wakeAll()
}

// SentBytes returns the number of bytes of all responses so far.
func (p *Platform) SentBytes() int64 {
	return p.sentBytes.Load()
}

// reply writes a response as JSON and counts its bytes.
func (p *Platform) reply(w http.ResponseWriter, reply any) {
	content, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	n, _ := w.Write(content)
	p.sentBytes.Add(int64(n))
}

func writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}
