package hickorystandin

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// maxTimers bounds a timer queue. 64,000 packets a second with 4 ms of delay need
// 256 entries, so a full queue is the sign of a fault, not of high load.
const maxTimers = 1 << 18

// timerQueue runs functions at set times, all in one goroutine.
type timerQueue struct {
	mutex sync.Mutex
	due   timerHeap
	// sequence numbers the calls of at; it orders functions with the same time.
	sequence uint64
	dropped  int
	// wake holds one value if the first entry may have changed.
	wake chan struct{}
}

type timer struct {
	at       time.Time
	sequence uint64
	callback func()
}

func newTimerQueue() *timerQueue {
	return &timerQueue{wake: make(chan struct{}, 1)}
}

// at schedules a function. A full queue drops the function and counts the drop.
func (q *timerQueue) at(when time.Time, callback func()) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.due) >= maxTimers {
		q.dropped++
		return
	}
	q.sequence++
	heap.Push(&q.due, timer{at: when, sequence: q.sequence, callback: callback})
	if q.due[0].sequence == q.sequence {
		signal(q.wake)
	}
}

// droppedCount returns the number of functions that the queue dropped because it
// was full.
func (q *timerQueue) droppedCount() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.dropped
}

// signal puts a value into a channel of capacity one, unless it holds one.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// run calls the functions when they are due, until the context ends.
func (q *timerQueue) run(ctx context.Context) error {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		alarm.Reset(q.runDue())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-q.wake:
		case <-alarm.C:
		}
	}
}

// runDue calls the functions that are due and returns the time until the next one.
func (q *timerQueue) runDue() time.Duration {
	for {
		next, wait := q.pop(time.Now())
		if next == nil {
			return wait
		}
		next()
	}
}

// pop removes and returns the first function if it is due. Otherwise it returns nil
// and the time until the first function is due, or an hour if there is none.
func (q *timerQueue) pop(now time.Time) (func(), time.Duration) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.due) == 0 {
		return nil, time.Hour
	}
	if wait := q.due[0].at.Sub(now); wait > 0 {
		return nil, wait
	}
	first, _ := heap.Pop(&q.due).(timer)
	return first.callback, 0
}

// timerHeap orders timers by time.
type timerHeap []timer

func (h timerHeap) Len() int      { return len(h) }
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}

// Push adds a timer; package heap calls it.
func (h *timerHeap) Push(item any) {
	if t, ok := item.(timer); ok {
		*h = append(*h, t)
	}
}

// Pop removes the last timer; package heap calls it.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
