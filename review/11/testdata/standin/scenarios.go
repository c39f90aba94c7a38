package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// orderWork is the work of a request of the first service, sheetWork that of the second.
	orderWork = 50 * time.Millisecond
	sheetWork = 5 * time.Millisecond
	// requestRate is the requests per second of all clients.
	requestRate = 100
	// busyRate is the same when machines lose power.
	busyRate = 150
	// drillAway is how long the store is away in a drill.
	drillAway = time.Second
	// settledTime is the time from the store's return, or from the same moment without a
	// drill, to the planned work: the store is stable by then.
	settledTime = stableWindow + 2*time.Second
	// servesOn is how long a host that drains serves after the bound of its service.
	servesOn = 5 * time.Second
	// powerlessTime is how long machines are without power.
	powerlessTime = 2 * time.Second
	// foreignPause is the time between two writes of another writer.
	foreignPause = 2 * time.Second
	// coldRate is what a cold host bears when machines lose power, in requests per
	// second; coldFactor and coldSlack are the bounds of the sites.
	coldRate   = 3.0
	coldFactor = 1.5
	coldSlack  = 5
)

// inBackground sends requests for a time. The returned function waits for the last one.
func (w *world) inBackground(length time.Duration, perSecond int) (wait func()) {
	var sending sync.WaitGroup
	sending.Go(func() { w.traffic(length, perSecond) })
	return sending.Wait
}

// drill takes the store away for a moment and brings it back from a copy of an earlier
// time, after which the operator and the hosts write again what they wrote.
func (w *world) drill(copied time.Time) {
	config := w.store.value("op/config")
	w.store.leave()
	time.Sleep(drillAway)
	w.store.returnFromCopy(copied)
	if w.store.value("op/config") != config {
		w.store.put("op/config", config)
	}
	for _, h := range w.hosts {
		if h.isRunning() {
			h.beat()
		}
	}
}

// drillDrain adds a host, which warms up, plays the drill, and drains the host six seconds
// after the store's return.
func drillDrain(w *world, trouble bool) error {
	wait := w.inBackground(32*time.Second, requestRate)
	time.Sleep(3 * time.Second)
	copied := time.Now()
	added, err := w.addHost(27, w.zones[0], "cocina-pedidos", "i-added", orderWork, coldStart)
	if err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		w.drill(copied)
	}
	w.settle()
	w.drainAndCheck(added)
	wait()
	w.reportUnanswered(added)
	return nil
}

// settle waits for settledTime, and says what the front machines do meanwhile.
func (w *world) settle() {
	calls, used := w.store.callsSoFar(), w.processorTimeOfFronts()
	time.Sleep(settledTime)
	calls, used = w.store.callsSoFar()-calls, w.processorTimeOfFronts()-used
	w.record.say("in %s the store got %d calls, and a front machine used %.3f cores", settledTime, calls, used.Seconds()/settledTime.Seconds()/float64(len(w.fronts)))
}

func (w *world) processorTimeOfFronts() time.Duration {
	used := time.Duration(0)
	for _, p := range w.fronts {
		used += p.processorTime()
	}
	return used
}

// drainAndCheck drains a host and ends it some seconds later. No first packet may reach it
// later than the bound after the store has acknowledged that it drains.
func (w *world) drainAndCheck(h *host) {
	acknowledged := h.drain()
	time.Sleep(drainBound + servesOn)
	left := time.Now()
	broken := h.stop()
	late := 0
	for _, o := range w.openingsBetween(acknowledged.Add(drainBound), left) {
		if o.host == h {
			late++
			w.breaks("DRAIN", "request %s reached host %s %.3f s after the store had acknowledged that it drains", o.id, h.id, o.at.Sub(acknowledged).Seconds())
		}
	}
	w.record.say("%d requests reached the draining host later than %s after the acknowledgement; %d were at work when it left", late, drainBound, broken)
}

// reportUnanswered says how many requests a host took and never answered.
func (w *world) reportUnanswered(h *host) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	count := 0
	for _, id := range w.unanswered {
		if w.lastHost[id] == h.id {
			count++
		}
	}
	w.record.say("%d requests that host %s took were never answered", count, h.id)
}

// drillEvacuate publishes some versions of the configuration, plays the drill, and
// evacuates a zone six seconds after the store's return.
func drillEvacuate(w *world, trouble bool) error {
	wait := w.inBackground(30*time.Second, requestRate)
	time.Sleep(3 * time.Second)
	copied := time.Now()
	for i := range 4 {
		w.publish(w.routes, 2000+100*(i+1))
		time.Sleep(time.Second)
	}
	if trouble {
		w.drill(copied)
	}
	w.settle()
	zone := w.zones[1]
	acknowledged, _ := w.store.put("op/evacuate/"+zone, "{}")
	time.Sleep(evacuateBound + 6*time.Second)
	returned, _ := w.store.remove("op/evacuate/" + zone)
	wait()
	late := 0
	for _, o := range w.openingsBetween(acknowledged.Add(evacuateBound), returned) {
		if o.host.zone == zone {
			late++
			w.breaks("EVAC", "request %s reached host %s in %s %.3f s after the evacuation had been acknowledged", o.id, o.host.id, zone, o.at.Sub(acknowledged).Seconds())
		}
	}
	w.record.say("%d requests reached hosts of the evacuated zone later than %s after the acknowledgement", late, evacuateBound)
	return nil
}

// foreignEntry drains a host while another writer keeps an entry with the host's address,
// which lacks the field born.
func foreignEntry(w *world, trouble bool) error {
	wait := w.inBackground(20*time.Second, requestRate)
	time.Sleep(2 * time.Second)
	h := w.hosts[0]
	if trouble {
		go w.writeForeignEntries(h)
	}
	time.Sleep(3 * time.Second)
	w.drainAndCheck(h)
	wait()
	w.reportUnanswered(h)
	return nil
}

// writeForeignEntries writes an entry that names a host's address but no start, until the
// world ends.
func (w *world) writeForeignEntries(h *host) {
	for i := 1; !w.isEnded(); i++ {
		w.store.put(storeKey("inventory-7"), fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v%d","slots":2,"state":"ready","cold-left-ms":0,"sequence":%d}`,
			h.service, h.address(), h.zone, i, i))
		time.Sleep(foreignPause)
	}
}

// powerLoss takes the power of half of the machines with hosts for a moment. Machines and
// hosts come back at the same time; the hosts are cold, and publish that at their start.
func powerLoss(w *world, trouble bool) error {
	w.coldPerSecond = coldRate
	w.publish(w.routes, 2000)
	wait := w.inBackground(14*time.Second, busyRate)
	time.Sleep(6 * time.Second)
	if trouble {
		if err := w.losePower(0, 1, 4, 5); err != nil {
			return err
		}
	}
	wait()
	return nil
}

// losePower ends some hosts and the agents beside them, and starts them again.
func (w *world) losePower(machines ...int) error {
	var ending sync.WaitGroup
	for _, i := range machines {
		w.hosts[i].crash()
		ending.Go(func() { w.agents[i].stop(syscall.SIGKILL) })
	}
	ending.Wait()
	time.Sleep(powerlessTime)
	back := time.Now()
	for _, i := range machines {
		if err := w.agents[i].start(); err != nil {
			return err
		}
		w.hosts[i].start(w.hosts[i].id, coldStart)
	}
	time.Sleep(coldStart)
	for _, i := range machines {
		w.checkCold(w.hosts[i], back, back.Add(coldStart))
	}
	return nil
}

// checkCold checks how many requests that were sent within one second reached a cold host
// within the same second.
func (w *world) checkCold(h *host, from, until time.Time) {
	bound := coldRate*coldFactor + coldSlack
	taken := []opening{}
	for _, o := range w.openingsBetween(from, until) {
		if o.host == h {
			taken = append(taken, o)
		}
	}
	most := 0
	for _, first := range taken {
		count := 0
		for _, o := range taken {
			if !o.sent.Before(first.sent) && o.at.Sub(first.sent) <= time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	if float64(most) > bound {
		w.breaks("FAILBACK", "cold host %s took %d requests that were sent and arrived within one second, more than %g", h.id, most, bound)
	}
	w.record.say("cold host %s took at most %d requests in a second, %d in all; the bound is %g", h.id, most, len(taken), bound)
}
