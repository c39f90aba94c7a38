package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeAnswerTime is the time that the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// storeHistory is how long changes can be watched.
	storeHistory = 20 * time.Second
	// heartbeat is the time between two writes of a host; entryLife is how long an entry
	// stays without one.
	heartbeat = 1200 * time.Millisecond
	entryLife = 3 * heartbeat
	// readsPerSecond is the number of calls that all machines together may make.
	readsPerSecond = 2000
	// maxPageItems is the size of a page of a listing.
	maxPageItems = 500
)

// change is one write or deletion of a key.
type change struct {
	key, value        string
	revision, created int
	deleted           bool
	at                time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	record *record
	server *http.Server

	mutex    sync.Mutex
	log      []change
	items    map[string]change
	revision int
	era      int
	away     bool
	// calls counts the calls, refused ones too; second has those since secondAt.
	calls, second int
	secondAt      time.Time
	// beats has the last heartbeat of each host's key.
	beats map[string]time.Time
	// wake is closed and replaced at each change.
	wake chan struct{}
}

func newStore(listener net.Listener, record *record) *store {
	s := &store{record: record, items: map[string]change{}, revision: 100, era: 1, beats: map[string]time.Time{}, wake: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.serve(s.get))
	mux.HandleFunc("GET /v1/kv-range", s.serve(s.list))
	mux.HandleFunc("GET /v1/kv-watch", s.serve(s.watch))
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	go s.expireEntries()
	return s
}

// serve returns a handler that breaks off calls while the store is away.
func (s *store) serve(call func(*http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(storeAnswerTime)
		if s.isAway() {
			panic(http.ErrAbortHandler)
		}
		status, body := http.StatusTooManyRequests, map[string]any{}
		if s.takeCall() {
			status, body = call(request)
		}
		if s.isAway() || request.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		s.mutex.Lock()
		era := s.era
		s.mutex.Unlock()
		writer.Header().Set("Content-Type", "application/json")
		writer.Header().Set("Store-Era", strconv.Itoa(era))
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(body)
	}
}

func (s *store) isAway() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.away
}

// takeCall counts a call and reports whether it is within readsPerSecond.
func (s *store) takeCall() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if time.Since(s.secondAt) >= time.Second {
		s.second, s.secondAt = 0, time.Now()
	}
	s.calls++
	s.second++
	return s.second <= readsPerSecond
}

// callsSoFar returns the number of calls.
func (s *store) callsSoFar() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (c *change) body() map[string]any {
	if c.deleted {
		return map[string]any{"key": c.key, "revision": c.revision, "deleted": true}
	}
	value := base64.StdEncoding.EncodeToString([]byte(c.value))
	return map[string]any{"key": c.key, "value": value, "revision": c.revision, "create-rev": c.created, "lease": 0}
}

func (s *store) get(request *http.Request) (int, map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.items[request.URL.Query().Get("key")]
	if !found {
		return http.StatusNotFound, map[string]any{"current-rev": s.revision}
	}
	body := item.body()
	body["current-rev"] = s.revision
	return http.StatusOK, body
}

func (s *store) list(request *http.Request) (int, map[string]any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	query := request.URL.Query()
	keys := []string{}
	for key := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > maxPageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		item := s.items[key]
		items = append(items, item.body())
	}
	return http.StatusOK, map[string]any{"items": items, "has-more": more, "current-rev": s.revision}
}

func (s *store) watch(request *http.Request) (int, map[string]any) {
	query := request.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		status, body, wake := s.eventsAfter(after, query.Get("prefix"))
		if status != http.StatusOK || expired || len(body["events"].([]map[string]any)) > 0 {
			return status, body
		}
		select {
		case <-request.Context().Done():
			return http.StatusOK, nil
		case <-timer.C:
			expired = true
		case <-wake:
		}
		if s.isAway() {
			return http.StatusOK, nil
		}
	}
}

// eventsAfter returns the answer to a watch. It is 410 if the store does not have the
// revision after which the changes are wanted, or no longer all changes since.
func (s *store) eventsAfter(after int, prefix string) (int, map[string]any, chan struct{}) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if after > s.revision {
		return http.StatusGone, map[string]any{"current-rev": s.revision}, s.wake
	}
	events := []map[string]any{}
	for i := range s.log {
		c := &s.log[i]
		if c.revision <= after {
			continue
		}
		if time.Since(c.at) > storeHistory {
			return http.StatusGone, map[string]any{"current-rev": s.revision}, s.wake
		}
		if strings.HasPrefix(c.key, prefix) {
			events = append(events, c.body())
		}
	}
	return http.StatusOK, map[string]any{"events": events, "current-rev": s.revision}, s.wake
}

// put writes a key and returns the time of the acknowledgement and true, or false while
// the store is away.
func (s *store) put(key, value string) (time.Time, bool) {
	return s.change(change{key: key, value: value})
}

// remove deletes a key.
func (s *store) remove(key string) (time.Time, bool) {
	return s.change(change{key: key, deleted: true})
}

func (s *store) change(c change) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return time.Time{}, false
	}
	return s.changeLocked(c), true
}

func (s *store) changeLocked(c change) time.Time {
	s.revision++
	c.revision, c.created, c.at = s.revision, s.revision, time.Now()
	if former, found := s.items[c.key]; found {
		c.created = former.created
	}
	s.log = append(s.log, c)
	s.apply(c)
	s.wakeLocked()
	verb := "writes"
	if c.deleted {
		verb = "deletes"
	}
	s.record.add("store era %d revision %d: %s %s %.160s", s.era, c.revision, verb, c.key, c.value)
	return c.at
}

func (s *store) apply(c change) {
	if c.deleted {
		delete(s.items, c.key)
		return
	}
	s.items[c.key] = c
}

func (s *store) wakeLocked() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// beat is the write of a host: the entry changes when more than its sequence changes.
func (s *store) beat(key, value string) (time.Time, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.away {
		return time.Time{}, false
	}
	s.beats[key] = time.Now()
	if item, found := s.items[key]; found && withoutSequence(item.value) == withoutSequence(value) {
		return time.Now(), true
	}
	return s.changeLocked(change{key: key, value: value}), true
}

// withoutSequence returns an entry without its sequence, which is its last field.
func withoutSequence(value string) string {
	before, _, _ := strings.Cut(value, `,"sequence"`)
	return before
}

// value returns the value of a key, or "".
func (s *store) value(key string) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.items[key].value
}

// expireEntries removes entries of hosts that have been silent for entryLife.
func (s *store) expireEntries() {
	for {
		time.Sleep(100 * time.Millisecond)
		s.mutex.Lock()
		for key, at := range s.beats {
			if s.away || time.Since(at) < entryLife {
				continue
			}
			delete(s.beats, key)
			if _, found := s.items[key]; found {
				s.changeLocked(change{key: key, deleted: true})
			}
		}
		s.mutex.Unlock()
	}
}

// leave makes the store unreachable: waiting watches are cut, further calls broken off.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	s.wakeLocked()
	s.record.add("the store is away")
}

// returnFromCopy ends the absence with the state of an earlier time. Later revisions are
// given out again, and the era rises.
func (s *store) returnFromCopy(copied time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := s.revision
	kept := []change{}
	s.items = map[string]change{}
	s.revision = 100
	for _, c := range s.log {
		if c.at.After(copied) {
			continue
		}
		kept = append(kept, c)
		s.apply(c)
		s.revision = c.revision
	}
	s.log = kept
	s.era++
	s.away = false
	for key := range s.items {
		if strings.HasPrefix(key, "servers/") {
			s.beats[key] = time.Now()
		}
	}
	s.record.add("the store is back from a copy: era %d, revision %d instead of %d", s.era, s.revision, lost)
}

func storeKey(id string) string {
	return fmt.Sprintf("servers/%s", id)
}
