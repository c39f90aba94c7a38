package hickoryrelay

import (
	"context"
	"math/rand/v2"
	"time"

	"hickoryworks/core/hickoryconfig"
	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryevent"
	"hickoryworks/schema/hickoryplatform"
)

const (
	// pollInterval is the longest mean time between two reads of the instance
	// list: 16,500 processes make 1,650 reads a second.
	pollInterval = 10 * time.Second
	// shortestPoll and pollPerInstance keep the reads of a small fleet below
	// 8 KB/s for each process, at about 160 bytes an instance, and often enough
	// that a leaving upstream gets no new work after 3 s.
	shortestPoll    = time.Second
	pollPerInstance = 20 * time.Millisecond
	// readerPoll is the time between two reads of a process that reads for its
	// zone: the relay takes up to 2 s of the 3 s in which a leaving upstream must
	// get no more new work.
	readerPoll = time.Second
	// firstInterval is the one after the first read; it doubles up to pollInterval
	// while the process is not settled, so that a fleet that can't settle does not
	// overload the platform.
	firstInterval = time.Second
)

// pace is what the interval between two reads of the instance list depends on.
type pace struct {
	settled bool
	// reader is true while the process reads the list for its zone.
	reader bool
	// needed is false while an agent knows balancers that answer.
	needed bool
}

// makeReads reads or watches the configuration service.
func (r *Relay) makeReads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-r.reads.items:
			if err := r.events.wait(ctx, r.read(ctx, action)); err != nil {
				return err
			}
		}
	}
}

func (r *Relay) read(ctx context.Context, action hickoryconfig.Action) event {
	e := event{action: &action, sentAt: r.parts.Clock.Now()}
	values, err := r.readValues(ctx, action.Read)
	if err != nil {
		e.err = err
		r.logFailure(hickoryevent.PlatformUnreachable, hickorylog.Fields{"error": err.Error()})
		return e
	}
	for i := range values.Values {
		if !values.Values[i].Deleted {
			values.Values[i].Content = Pack(values.Values[i].Content)
		}
	}
	e.values = &values
	return e
}

func (r *Relay) readValues(ctx context.Context, read hickoryconfig.Read) (hickoryplatform.Values, error) {
	if read.Wait > 0 {
		return r.parts.Platform.Watch(ctx, read.After, read.Wait)
	}
	return r.parts.Platform.Read(ctx, read.After)
}

// pollInstances reads the instance list, slowly and with jitter.
func (r *Relay) pollInstances(ctx context.Context) error {
	interval := firstInterval
	longest := shortestPoll
	for {
		list, err := r.parts.Platform.Instances(ctx)
		if err == nil {
			longest = pollTime(len(list.Instances))
			_ = r.events.wait(ctx, event{list: &list})
			if r.parts.OnInstanceList != nil {
				r.parts.OnInstanceList(list)
			}
		} else {
			r.logFailure(hickoryevent.PlatformUnreachable, hickorylog.Fields{"error": err.Error()})
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if r.awaitPoll(ctx, interval/2+rand.N(interval), longest) {
			interval = longest
		}
		interval = min(2*interval, longest)
	}
}

// pollTime returns the mean time between two reads of a list.
func pollTime(instances int) time.Duration {
	return min(max(time.Duration(instances)*pollPerInstance, shortestPoll), pollInterval)
}

// awaitPoll waits and returns whether the process is settled. A process that is
// or becomes a reader waits no longer than readerPoll; one that does not need the
// list waits until it does.
func (r *Relay) awaitPoll(ctx context.Context, wait, longest time.Duration) bool {
	begun := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var last pace
	idle := false
	for {
		select {
		case <-ctx.Done():
			return last.settled
		case <-timer.C:
			if last.needed || !last.settled {
				return last.settled
			}
			idle = true
		case last = <-r.pace:
			if idle && last.needed {
				// The agents of a zone lose their balancers at the same time, so in a
				// large fleet they must not all read at once. Until it has read, an
				// agent passes no packet on to other agents.
				idle = false
				timer.Reset(rand.N(longest))
			}
			if last.reader && last.settled && wait > readerPoll {
				wait = readerPoll
				timer.Reset(wait - time.Since(begun))
			}
		}
	}
}
