package hickorylog

import (
	"context"
	"io"

	"hickoryworks/io/hickoryring"
)

// Queue writes log lines in a goroutine of its own, so that a slow reader of the
// output delays nothing. Lines that find the queue full are dropped and counted.
type Queue struct {
	ring   *hickoryring.LineRing
	cancel context.CancelFunc
	// ended delivers one value when the last line is written; Close reads it.
	ended chan error
}

// NewQueue starts a queue in front of an output.
func NewQueue(ctx context.Context, out io.Writer) *Queue {
	ctx, cancel := context.WithCancel(ctx)
	q := &Queue{ring: hickoryring.NewLineRing(), cancel: cancel, ended: make(chan error, 1)}
	go func(ctx context.Context) {
		q.ended <- q.run(ctx, out)
	}(ctx)
	return q
}

// Write queues one line. It never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	q.ring.Put(append([]byte(nil), line...))
	return len(line), nil
}

// Drops returns the number of lines that found the queue full.
func (q *Queue) Drops() uint64 {
	return q.ring.Drops()
}

// Close writes what is queued and ends the goroutine.
func (q *Queue) Close() error {
	q.cancel()
	return <-q.ended
}

func (q *Queue) run(ctx context.Context, out io.Writer) error {
	var buffer []byte
	for {
		select {
		case <-ctx.Done():
			_, err := out.Write(q.rest(nil))
			return err
		case line := <-q.ring.Items():
			buffer = q.rest(append(buffer[:0], line...))
			if _, err := out.Write(buffer); err != nil {
				return err
			}
		}
	}
}

// rest adds all lines that wait, so that they cost one write.
func (q *Queue) rest(buffer []byte) []byte {
	for {
		select {
		case line := <-q.ring.Items():
			buffer = append(buffer, line...)
		default:
			return buffer
		}
	}
}
