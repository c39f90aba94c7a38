package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxItems is the number of items of one page of a listing.
const maxItems = 500

// item is one key of the store, or the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int    `json:"revision"`
	Created  int    `json:"create-rev,omitempty"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store plays the platform's metadata store. It keeps all of its history.
type store struct {
	mutex    sync.Mutex
	revision int
	items    map[string]item
	history  []item
	changed  chan struct{}
	server   *http.Server
}

func startStore(endpoint string) (*store, error) {
	s := &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	listener, err := net.Listen("tcp", endpoint)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a key; the return is the acknowledgement.
func (s *store) put(key string, value any) int {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	i := item{Key: key, Value: base64.StdEncoding.EncodeToString(content), Revision: s.revision, Created: created}
	s.items[key] = i
	s.append(i)
	return s.revision
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) append(i item) {
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mutex.Lock()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxItems
	keys = keys[:min(len(keys), maxItems)]
	items := make([]item, 0, len(keys))
	for _, key := range keys {
		items = append(items, s.items[key])
	}
	answer := map[string]any{"items": items, "has-more": more, "current-rev": s.revision}
	s.mutex.Unlock()
	reply(w, answer)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))
	waitMillis, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(time.Duration(waitMillis) * time.Millisecond)
	for expired := false; ; {
		s.mutex.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || expired {
			reply(w, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, answer any) {
	time.Sleep(4 * time.Millisecond) // the time of an answer of the store
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
