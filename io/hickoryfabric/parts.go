package hickoryfabric

import (
	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickorymetric"
	"hickoryworks/io/hickorysocket"
	"hickoryworks/schema/hickoryid"
)

func openSocket(endpoint hickoryid.Endpoint) (*hickorysocket.Socket, error) {
	parsed, err := hickorymodel.ParseEndpoint(endpoint)
	if err != nil {
		return nil, err
	}
	return hickorysocket.Open(parsed)
}

// openMetrics opens the page of the metrics, if the settings name one.
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

// closeErrors keeps the first error of several closes.
type closeErrors struct {
	first error
}

func (c *closeErrors) add(err error) {
	if c.first == nil {
		c.first = err
	}
}

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
