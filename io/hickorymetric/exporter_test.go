package hickorymetric_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/io/hickorymetric"
	"hickoryworks/schema/hickorymessage"
)

// TestExporterServesPage guards against a counter of dropped packets that is missing
// from the page or has another name there. Alerts depend on these counters.
func TestExporterServesPage(t *testing.T) {
	is := is.New(t)
	exporter, err := hickorymetric.Listen("127.0.0.1:0", "balancer-1")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func(ctx context.Context) { ended <- exporter.Serve(ctx) }(ctx)
	defer func() {
		cancel()
		<-ended
		is.NoErr(exporter.Close())
	}()
	drops := hickorymetric.NewDrops(exporter.Scope())
	drops.Add(hickorymessage.DropReasonHopLimit)
	is.Equal(drops.Counts(), []hickorymessage.DropCount{{Reason: "hopLimit", Count: 1}})
	const want = `hickory_packets_dropped{instance="balancer-1",reason="hopLimit"} 1`
	for page := ""; !strings.Contains(page, want); {
		page = get(ctx, t, "http://"+string(exporter.Endpoint())+"/metrics")
	}
}

func get(ctx context.Context, t *testing.T, url string) string {
	is := is.New(t)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return string(page)
}
