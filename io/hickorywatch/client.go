// Package hickorywatch is the HTTP client of the platform: it reads and watches the
// configuration service and reads the instance list. It never writes to them.
package hickorywatch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

const (
	// callTimeout limits a call; a watch may take this time and its wait.
	callTimeout = 2 * time.Second
	// maxResponseBytes limits the body of a response. A value has at most 1 MB, and
	// JSON may double its size.
	maxResponseBytes = 64 << 20
)

// Client calls the configuration service and the instance list of one platform. It
// is safe for concurrent use.
type Client struct {
	configuration hickoryid.URL
	instances     hickoryid.URL
	http          *http.Client
}

// NewClient returns a client of the configuration service and the instance list at
// the given URLs.
func NewClient(configuration, instances hickoryid.URL) *Client {
	return &Client{configuration: configuration, instances: instances, http: &http.Client{}}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Read returns the values of the configuration service that changed after an index.
// The service responds without waiting for a change.
func (c *Client) Read(ctx context.Context, after int) (hickoryplatform.Values, error) {
	return c.values(ctx, fmt.Sprintf("%s?after=%d", c.configuration, after), callTimeout)
}

// Watch returns the values that changed after an index. The service delays the
// response until there is a change, but no longer than wait.
func (c *Client) Watch(ctx context.Context, after int, wait time.Duration) (hickoryplatform.Values, error) {
	url := fmt.Sprintf("%s?after=%d&wait=%s", c.configuration, after, wait)
	return c.values(ctx, url, wait+callTimeout)
}

// Instances returns the platform's list of instances.
func (c *Client) Instances(ctx context.Context) (hickoryplatform.Instances, error) {
	var decodedBody hickoryplatform.Instances
	err := c.get(ctx, string(c.instances), callTimeout, &decodedBody)
	return decodedBody, errors.Wrapf(err, "read instance list at %s", c.instances)
}

// values reads the values of the configuration service from a URL.
func (c *Client) values(ctx context.Context, url string, timeout time.Duration) (hickoryplatform.Values, error) {
	var decodedBody hickoryplatform.Values
	err := c.get(ctx, url, timeout, &decodedBody)
	return decodedBody, errors.Wrapf(err, "read configuration service at %s", c.configuration)
}

// get requests a URL and decodes the JSON body of the response. It
// fails when the status isn't 200.
func (c *Client) get(ctx context.Context, url string, timeout time.Duration, decodedBody any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", response.Status)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(decodedBody)
}
