package hickorystandin

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxSectionBytes is the maximum size of a published section.
const maxSectionBytes = 1 << 20

// handler serves the report and the endpoints of the upstreams, and lets a test or
// the load tool publish sections and inject faults.
func (p *Program) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Report()) })
	mux.HandleFunc("PUT /section", p.putSection)
	mux.HandleFunc("PUT /platform", p.putPlatform)
	for i, upstream := range p.upstreams {
		prefix := "/upstreams/" + string(p.settings.Upstreams[i].ID)
		mux.Handle("GET "+prefix+"/", http.StripPrefix(prefix, upstream.Handler()))
		mux.HandleFunc("PUT "+prefix+"/drain", func(http.ResponseWriter, *http.Request) { upstream.Drain() })
		mux.HandleFunc("PUT "+prefix+"/chill", func(http.ResponseWriter, *http.Request) { upstream.ColdReset() })
	}
	return mux
}

// putSection publishes the request body under the key in the query.
func (p *Program) putSection(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSectionBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.platform.Publish(r.FormValue("key"), string(content))
}

// putPlatform sets the faults down, stale and slow of the platform from the query.
// A fault that the query leaves out ends.
func (p *Program) putPlatform(w http.ResponseWriter, r *http.Request) {
	down, _ := strconv.ParseBool(r.FormValue("down"))
	stale, _ := strconv.ParseBool(r.FormValue("stale"))
	slow, err := time.ParseDuration(r.FormValue("slow"))
	if err != nil && r.FormValue("slow") != "" {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.platform.SetDown(down)
	p.platform.SetStale(stale)
	p.platform.SetDelay(slow)
}
