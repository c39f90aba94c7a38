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

// Platform plays the configuration service, which can only be read and watched,
// and the list of instances, which lags.
type Platform struct {
	server   *http.Server
	listener net.Listener
	// ended delivers one value when the server has ended; Close reads it.
	ended chan error
	// calls counts the reads and watches of the configuration service; a watch
	// counts once, however long it waits.
	configurationRequests atomic.Int64
	// sent counts the bytes of all answers.
	sentBytes atomic.Int64

	mutex sync.Mutex
	// current is what operators have published; shown is what the service
	// answers, which is an older state while the service is stale.
	current valueSnapshot
	served  valueSnapshot
	stale   bool
	// down makes all calls of both services fail.
	down bool
	// slowness delays each answer of the configuration service.
	responseDelay time.Duration
	// wake is closed and replaced at each change of what is shown.
	wake chan struct{}
	list instanceList
}

// NewPlatform starts the platform on a free loopback port.
func NewPlatform() (*Platform, error) {
	return NewPlatformAt("127.0.0.1:0")
}

// NewPlatformAt starts the platform on a given socket.
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

// Close ends the platform.
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

// ConfigurationRequests returns the number of requests to the configuration service so far.
func (p *Platform) ConfigurationRequests() int64 {
	return p.configurationRequests.Load()
}

// SetDown makes the platform's services fail, or work again.
func (p *Platform) SetDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.down = down
	p.wakeAll()
}

// SentBytes returns the number of bytes of all answers so far.
func (p *Platform) SentBytes() int64 {
	return p.sentBytes.Load()
}

// answer writes an answer and counts its bytes.
func (p *Platform) response(w http.ResponseWriter, response any) {
	content, err := json.Marshal(response)
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
