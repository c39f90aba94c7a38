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
	// maxPollInterval is the upper bound of the mean time between two reads of the
	// instance list. With it, 16,500 processes make 1,650 reads a second.
	maxPollInterval = 10 * time.Second
	// minPollInterval and pollIntervalPerInstance set the mean time between two reads
	// in a small fleet. An instance takes about 160 bytes in the list, so each process
	// reads less than 8 KB/s; and reads are frequent enough that a leaving upstream
	// gets no new flows after 3 s.
	minPollInterval         = time.Second
	pollIntervalPerInstance = 20 * time.Millisecond
	// readerPollInterval is the time between two reads of a process that reads the
	// list on behalf of its zone. A leaving upstream must get no new flows after 3 s,
	// and it takes up to 2 s of them until a change has reached all processes.
	readerPollInterval = time.Second
	// firstPollInterval is the mean time between the first and the second read. The
	// interval doubles after each read, up to that of a settled process, so that a
	// fleet that can't settle does not overload the platform.
	firstPollInterval = time.Second
)

// pollState holds the facts that set the time of the next read of the instance list.
type pollState struct {
	// settled is true when the process is listed and has the configuration that it
	// needs.
	settled bool
	// zoneReader is true while the process reads the list on behalf of its zone.
	zoneReader bool
	// listNeeded is true while the process must read the list: always for a balancer,
	// and for an agent while no balancer answers it.
	listNeeded bool
}

// makeReads makes the reads of the reads ring, one after the other, and passes each
// result to the configuration duty.
func (r *Relay) makeReads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case action := <-r.reads.items:
			if err := r.events.putResult(ctx, r.read(ctx, action)); err != nil {
				return err
			}
		}
	}
}

// read makes one read of the configuration service and packs the values that it
// returns.
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

// readValues watches the configuration service if the read may wait for a change,
// and otherwise reads it.
func (r *Relay) readValues(ctx context.Context, read hickoryconfig.Read) (hickoryplatform.Values, error) {
	if read.Wait > 0 {
		return r.parts.Platform.Watch(ctx, read.After, read.Wait)
	}
	return r.parts.Platform.Read(ctx, read.After)
}

// pollInstances reads the instance list until the context ends. The times between
// reads are random, from half to one and a half times the mean.
func (r *Relay) pollInstances(ctx context.Context) error {
	interval := firstPollInterval
	maxInterval := minPollInterval
	for {
		list, err := r.parts.Platform.Instances(ctx)
		if err == nil {
			maxInterval = listPollInterval(len(list.Instances))
			_ = r.events.putResult(ctx, event{list: &list})
			if r.parts.OnInstanceList != nil {
				r.parts.OnInstanceList(list)
			}
		} else {
			r.logFailure(hickoryevent.PlatformUnreachable, hickorylog.Fields{"error": err.Error()})
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if r.waitForPoll(ctx, interval/2+rand.N(interval), maxInterval) {
			interval = maxInterval
		}
		interval = min(2*interval, maxInterval)
	}
}

// listPollInterval returns the mean time between two reads of a list by a settled
// process.
func listPollInterval(instances int) time.Duration {
	return min(max(time.Duration(instances)*pollIntervalPerInstance, minPollInterval), maxPollInterval)
}

// waitForPoll waits until the next read of the instance list is due and returns
// whether the process is settled. A process that is or becomes a reader for its
// zone waits no longer than readerPollInterval. A settled process that does not
// need the list waits until it needs it.
func (r *Relay) waitForPoll(ctx context.Context, wait, maxInterval time.Duration) bool {
	waitStart := time.Now()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var latestState pollState
	timerExpired := false
	for {
		select {
		case <-ctx.Done():
			return latestState.settled
		case <-timer.C:
			if latestState.listNeeded || !latestState.settled {
				return latestState.settled
			}
			timerExpired = true
		case latestState = <-r.pollState:
			if timerExpired && latestState.listNeeded {
				// The agents of a zone lose their balancers at the same time, so in a
				// large fleet they must not all read at once. Until an agent has read
				// the list, it forwards no packet to other agents.
				timerExpired = false
				timer.Reset(rand.N(maxInterval))
			}
			if latestState.zoneReader && latestState.settled && wait > readerPollInterval {
				wait = readerPollInterval
				timer.Reset(wait - time.Since(waitStart))
			}
		}
	}
}
