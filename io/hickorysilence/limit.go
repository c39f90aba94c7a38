// Package hickorysilence ends calls whose other end has fallen silent. A limit on the
// whole time of a call would also end one that brings much over a narrow link, or to a
// process with a small share of a processor, and its repetition would bring no less.
package hickorysilence

import (
	"sync"
	"time"
)

// parts is the number of parts of a limit that have to pass without progress. A pause of
// this process counts as one part, however long it is.
const parts = 4

// Limit calls a function once nothing has arrived for a time. It is safe for concurrent
// use.
type Limit struct {
	part  time.Duration
	onEnd func()

	mutex sync.Mutex
	timer *time.Timer
	// silent counts the parts that have passed since the last progress. It starts below 0
	// when the first answer may take longer.
	silent  int
	stopped bool
}

// Start starts a limit. OnEnd is called, in a goroutine of its own, when Progress has not
// been called for limit; before the first call it may take longer by first.
func Start(first, limit time.Duration, onEnd func()) *Limit {
	l := &Limit{part: max(limit/parts, time.Millisecond), onEnd: onEnd}
	l.silent = -int((first + l.part - 1) / l.part)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.timer = time.AfterFunc(l.part, l.endPart)
	return l
}

// Progress records that something has arrived.
func (l *Limit) Progress() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.silent = 0
}

// Stop ends the limit; the function is not called any more.
func (l *Limit) Stop() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopped = true
	l.timer.Stop()
}

// endPart counts a part of the limit.
func (l *Limit) endPart() {
	l.mutex.Lock()
	l.silent++
	ended := l.silent >= parts
	if !ended && !l.stopped {
		l.timer.Reset(l.part)
	}
	call := ended && !l.stopped
	l.mutex.Unlock()
	if call {
		l.onEnd()
	}
}
