package hickorystandin

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"time"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

// valueSnapshot holds all values of the configuration service as of one change.
type valueSnapshot struct {
	// index counts the changes; it is also the version of the value changed last.
	index  int
	values map[string]hickoryplatform.Value
}

func newValueSnapshot() valueSnapshot {
	return valueSnapshot{values: map[string]hickoryplatform.Value{}}
}

// after returns the values changed after an index.
func (s *valueSnapshot) after(index int) hickoryplatform.Values {
	response := hickoryplatform.Values{Index: s.index, Values: []hickoryplatform.Value{}}
	for _, value := range s.values {
		if int(value.Version) > index {
			response.Values = append(response.Values, value)
		}
	}
	return response
}

// Publish stores a value, as operators do, and returns its version.
func (p *Platform) Publish(key, content string) hickoryid.SectionVersion {
	return p.setValue(hickoryplatform.Value{Key: key, Content: content})
}

// Delete marks a value as deleted and returns the version of the deletion.
func (p *Platform) Delete(key string) hickoryid.SectionVersion {
	return p.setValue(hickoryplatform.Value{Key: key, Deleted: true})
}

func (p *Platform) setValue(value hickoryplatform.Value) hickoryid.SectionVersion {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.current.index++
	value.Version = hickoryid.SectionVersion(p.current.index)
	p.current.values[value.Key] = value
	p.updateServed()
	return value.Version
}

// SetStale makes the configuration service keep serving its current values, whatever
// is published, until SetStale is called with false.
func (p *Platform) SetStale(stale bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.stale = stale
	p.updateServed()
}

// SetDelay delays each response of the configuration service.
func (p *Platform) SetDelay(responseDelay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.responseDelay = responseDelay
}

// updateServed makes the published values the served ones, unless the service is
// stale, and wakes the watches that wait for a change.
func (p *Platform) updateServed() {
	if p.stale {
		return
	}
	p.served = valueSnapshot{index: p.current.index, values: maps.Clone(p.current.values)}
	p.wakeAll()
}

func (p *Platform) wakeAll() {
	close(p.wake)
	p.wake = make(chan struct{})
}

func (p *Platform) serveValues(w http.ResponseWriter, r *http.Request) {
	p.configurationRequests.Add(1)
	after, err := strconv.Atoi(r.FormValue("after"))
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	wait, _ := time.ParseDuration(r.FormValue("wait"))
	if !p.waitDelay(r.Context()) {
		return
	}
	reply, ok := p.valuesAfter(r.Context(), after, wait)
	if !ok {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	p.reply(w, reply)
}

// waitDelay waits for the delay set by SetDelay. It returns false if the client
// closes the request earlier.
func (p *Platform) waitDelay(ctx context.Context) bool {
	p.mutex.Lock()
	responseDelay := p.responseDelay
	p.mutex.Unlock()
	if responseDelay == 0 {
		return true
	}
	timer := time.NewTimer(responseDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// valuesAfter returns the values that changed after an index. If there are none
// it waits for a change, at most for the given time, after which it returns no
// values. It returns false if the service is down or the client closes the request.
func (p *Platform) valuesAfter(ctx context.Context, after int, wait time.Duration) (hickoryplatform.Values, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		response, wake, down := p.snapshot(after)
		if down {
			return response, false
		}
		if len(response.Values) > 0 {
			return response, true
		}
		select {
		case <-wake:
		case <-timer.C:
			return response, true
		case <-ctx.Done():
			return response, false
		}
	}
}

// snapshot returns the served values that changed after an index, a channel that
// is closed at the next change, and whether the service is down.
func (p *Platform) snapshot(after int) (hickoryplatform.Values, <-chan struct{}, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.served.after(after), p.wake, p.down
}
