package hickorylog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"

	"hickoryworks/schema/hickoryevent"
)

// Recorder stores the log lines of loggers or of a process for a test, which can
// count the events in them and wait for an event. It is safe for concurrent use.
type Recorder struct {
	mutex   sync.Mutex
	changed *sync.Cond
	text    bytes.Buffer
	// ended is true once no more lines follow.
	ended bool
}

// NewRecorder returns a recorder without lines.
func NewRecorder() *Recorder {
	r := &Recorder{}
	r.changed = sync.NewCond(&r.mutex)
	return r
}

// Write appends lines, or parts of them.
func (r *Recorder) Write(text []byte) (int, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.changed.Broadcast()
	return r.text.Write(text)
}

// End records that no more lines follow, which ends every wait in Await.
func (r *Recorder) End() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ended = true
	r.changed.Broadcast()
}

// Count returns how often an event has been logged so far.
func (r *Recorder) Count(event hickoryevent.Event) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count(event)
}

// Await waits until an event has been logged at least count times. It reports false
// when End is called before that.
func (r *Recorder) Await(event hickoryevent.Event, count int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for r.count(event) < count && !r.ended {
		r.changed.Wait()
	}
	return r.count(event) >= count
}

// String returns all lines so far.
func (r *Recorder) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.String()
}

func (r *Recorder) count(event hickoryevent.Event) int {
	return strings.Count(r.text.String(), fmt.Sprintf(`"event":%d,`, event.Number))
}
