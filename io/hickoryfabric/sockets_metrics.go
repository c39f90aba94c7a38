package hickoryfabric

import (
	"sync"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickoryduty"
	"hickoryworks/io/hickorylog"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickoryring"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryid"
)

// openSocket opens a UDP socket that calls failed with each error of sending or
// receiving.
func openSocket(endpoint hickoryid.Endpoint, failed func(error)) (*hickorysocket.Socket, error) {
	parsed, err := hickorymodel.ParseEndpoint(endpoint)
	if err != nil {
		return nil, err
	}
	return hickorysocket.Open(parsed, hickorysocket.WithSendFailed(failed), hickorysocket.WithReceiveFailed(failed))
}

// socketErrors counts the errors of sockets and logs them up to the recorder's
// rate limit. It is safe for concurrent use, since several duties share it.
type socketErrors struct {
	mutex    sync.Mutex
	recorder *recorder
}

// add counts one error and logs it within the limit. For a peer that is down, the
// system may report a closed port for each packet sent, so there may be as many
// errors as packets.
func (e *socketErrors) add(err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.recorder.count(stepSocketFailed, hickorysteering.ReasonNone)
	e.recorder.log(hickoryevent.SocketFailed, func() hickorylog.Fields { return hickorylog.Fields{"error": err.Error()} })
}

// openMetrics opens the metrics endpoint. Without an endpoint it returns a nil
// exporter and a scope that discards all metrics.
func openMetrics(endpoint *hickoryid.Endpoint, instance hickoryid.InstanceID) (*hickorymetric.Exporter, tally.Scope, error) {
	if endpoint == nil {
		return nil, tally.NoopScope, nil
	}
	exporter, err := hickorymetric.Listen(*endpoint, instance)
	if err != nil {
		return nil, tally.NoopScope, err
	}
	return exporter, exporter.Scope(), nil
}

// closeErrors keeps the first error of several calls of Close.
type closeErrors struct {
	first error
}

func (c *closeErrors) add(err error) {
	if c.first == nil {
		c.first = err
	}
}

// addSockets closes sockets; nil stands for one that was not opened.
func (c *closeErrors) addSockets(sockets ...*hickorysocket.Socket) {
	for _, socket := range sockets {
		if socket != nil {
			c.add(socket.Close())
		}
	}
}

// seedEndpoints parses the seeds of the settings.
func seedEndpoints(seeds []hickoryid.Endpoint) ([]hickorymodel.Endpoint, error) {
	parsed := make([]hickorymodel.Endpoint, 0, len(seeds))
	for _, seed := range seeds {
		endpoint, err := hickorymodel.ParseEndpoint(seed)
		if err != nil {
			return nil, err
		}
		parsed = append(parsed, endpoint)
	}
	return parsed, nil
}

// namedRing is a ring whose drops are exported; name is the label of the metric.
type namedRing struct {
	name string
	ring *hickoryring.FrameRing
}

// addMetrics adds the duties that export the drops of rings and serve the metrics
// endpoint. It adds none without an exporter.
func addMetrics(group *hickoryduty.Group, exporter *hickorymetric.Exporter, scope tally.Scope, rings ...namedRing) {
	if exporter == nil {
		return
	}
	drops := hickorymetric.NewRingDrops(scope)
	for _, r := range rings {
		drops.Add(r.name, r.ring.Drops)
	}
	group.Add("ring drops", drops.Run)
	group.Add("metrics", exporter.Serve)
}
