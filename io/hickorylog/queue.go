package hickorylog

import (
	"context"
	"io"

	"hickoryworks/io/hickoryring"
)

// Queue writes log lines in a goroutine of its own, so that a slow reader of the
// output does not delay the program. While the queue is full, new lines are dropped
// and counted.
type Queue struct {
	ring   *hickoryring.LineRing
	cancel context.CancelFunc
	// ended receives one value, the error of a failed write or nil, when the goroutine
	// ends. Close reads it.
	ended chan error
}

// NewQueue starts a queue that writes to out. It ends with the context or at Close.
func NewQueue(ctx context.Context, out io.Writer) *Queue {
	ctx, cancel := context.WithCancel(ctx)
	q := &Queue{ring: hickoryring.NewLineRing(), cancel: cancel, ended: make(chan error, 1)}
	go func(ctx context.Context) {
		q.ended <- q.run(ctx, out)
	}(ctx)
	return q
}

// Write queues a copy of one line. It never blocks and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.ring.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Drops returns the number of lines that were dropped because the queue was full.
func (q *Queue) Drops() uint64 {
	return q.ring.Drops()
}

// Close writes the queued lines and ends the goroutine. It returns the error of a
// failed write; after such an error, no further lines are written.
func (q *Queue) Close() error {
	q.cancel()
	return <-q.ended
}

func (q *Queue) run(ctx context.Context, out io.Writer) error {
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			_, err := out.Write(q.appendQueued(nil))
			return err
		case line := <-q.ring.Items():
			buffer = q.appendQueued(append(buffer[:0], line...))
			if _, err := out.Write(buffer); err != nil {
				return err
			}
		}
	}
}

// appendQueued appends all queued lines to buffer, so that one call writes them.
func (q *Queue) appendQueued(buffer []byte) []byte {
	for {
		select {
		case line := <-q.ring.Items():
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
}
