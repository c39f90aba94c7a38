package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Services of the deployment. Callers open flows to clubroom; a new configuration sends
// their routes to packetdesk.
const (
	clubroom   = "clubroom"
	packetdesk = "packetdesk"
)

const (
	zoneA = "tt-north-a"
	zoneB = "tt-north-b"
	// idleTimeout is idle-timeout-ms of the configurations.
	idleTimeout = 15 * time.Second
	// configApply is config-apply-ms.
	configApply = 3 * time.Second
	// stableWindow is stable-window-ms, and a little more.
	stableWindow = 4300 * time.Millisecond
	// deadline is the time that a client waits for the answer to a check-in.
	deadline = 2500 * time.Millisecond
)

// deploy starts the fronts and the hosts with their agents, and waits until all are
// ready. Sides are pairs of a zone and a service.
func deploy(c *cluster, fronts []string, sides [][2]string) error {
	for i, zone := range fronts {
		if _, err := c.addMachine("front", zone, c.ip(1, byte(i+1)), ""); err != nil {
			return err
		}
	}
	for i, side := range sides {
		if err := addSide(c, byte(i+1), side[0], side[1], 0, 0); err != nil {
			return err
		}
	}
	for _, m := range c.machines {
		if m.process != nil {
			continue
		}
		if err := c.start(m); err != nil {
			return err
		}
	}
	if err := c.awaitReady(c.machines, 10*time.Second); err != nil {
		return err
	}
	for _, m := range c.list("front") {
		go c.router.check(m)
	}
	time.Sleep(2 * time.Second) // the balancers learn their members
	return nil
}

// addSide prepares a side machine and starts its host, whose clock is ahead of the true
// time by clockAhead and which is cold for some time.
func addSide(c *cluster, number byte, zone, service string, clockAhead, cold time.Duration) error {
	ip := c.ip(2, number)
	if _, err := c.addMachine("side", zone, ip, service); err != nil {
		return err
	}
	h, err := startHost(c, fmt.Sprintf("i-%s-%d", service, number), service, zone, ip, clockAhead, cold)
	if err != nil {
		return err
	}
	c.hosts = append(c.hosts, h)
	return nil
}

// list returns the machines of a class.
func (c *cluster) list(class string) []*machine {
	list := []*machine{}
	for _, m := range c.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

// configure publishes a configuration in which all routes go to one service.
func (c *cluster) configure(version int, routes []address, target string) {
	published := []map[string]any{}
	for i, route := range routes {
		published = append(published, map[string]any{
			"name": fmt.Sprintf("r-%d", i+1), "host": address{ip: route.ip}.host(), "prefix": fmt.Sprintf("/%d/", route.port),
			"kind": "non_idempotent", "timeout-ms": 2500, "target-latency-ms": 300, "priority": 1, "service": target, "max-attempts": 2,
		})
	}
	services := []map[string]any{}
	for _, name := range []string{clubroom, packetdesk} {
		services = append(services, map[string]any{
			"name": name, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": false,
			"cold-start-s": c.coldStart.Seconds(), "cold-per-s": c.coldRate,
		})
	}
	c.store.put("op/config", map[string]any{
		"version": version, "routes": published, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": idleTimeout.Milliseconds()},
	})
	c.record.add("the store acknowledges configuration %d: %d routes to %s", version, len(routes), target)
}

// host returns the IP address alone.
func (a address) host() string {
	return fmt.Sprintf("%d.%d.%d.%d", a.ip[0], a.ip[1], a.ip[2], a.ip[3])
}

// routes returns addresses of routes.
func (c *cluster) routes(count int) []address {
	list := []address{}
	for i := range count {
		list = append(list, address{c.ip(4, 1), uint16(8080 + i)})
	}
	return list
}

// requestGap is the time between the requests of two clients.
const requestGap = 20 * time.Millisecond

// openFlows opens a flow to each of the routes, and sends a request on each.
func openFlows(c *cluster, zone string, routes []address, gap time.Duration) ([]*clientFlow, error) {
	flows := make([]*clientFlow, len(routes))
	errs := make([]error, len(routes))
	var group sync.WaitGroup
	for i, route := range routes {
		group.Add(1)
		time.Sleep(gap)
		go func() {
			defer group.Done()
			flows[i], errs[i] = c.clients.open(zone, route)
		}()
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	for _, result := range requestAll(flows, "first", gap) {
		if result != "answered" {
			return nil, fmt.Errorf("a first request ends with %q", result)
		}
	}
	return flows, nil
}

// requestAll sends a request on each of the flows, one gap after the other.
func requestAll(flows []*clientFlow, name string, gap time.Duration) []string {
	results := make([]string, len(flows))
	var group sync.WaitGroup
	for i, f := range flows {
		group.Add(1)
		time.Sleep(gap)
		go func() {
			defer group.Done()
			results[i] = f.request(fmt.Sprintf("%s-%d", name, i+1), deadline)
		}()
	}
	group.Wait()
	return results
}

// brokenFlows returns a line for each flow that the load balancer has reset although its
// host holds it. All hosts live throughout a case.
func brokenFlows(c *cluster, flows []*clientFlow, results []string) []string {
	breaks := []string{}
	for i, f := range flows {
		for _, h := range c.hosts {
			if h.holds(f.key) && results[i] == "reset by the load balancer" {
				breaks = append(breaks, fmt.Sprintf("FLOW: open flow %s is reset by the load balancer while host %s lives and holds it", f.key.client, h.name))
			}
		}
	}
	return breaks
}

// formerService: routes move from one service to another; their open flows stay at the
// hosts of the former service. Then the agents and the balancers are stopped and started
// in turn, as in a rolling update, while the callers pause.
func formerService(c *cluster, trouble bool) ([]string, error) {
	routes := c.routes(1)
	c.configure(1, routes, clubroom)
	if err := deploy(c, []string{zoneA, zoneA}, [][2]string{{zoneA, clubroom}, {zoneA, clubroom}, {zoneA, packetdesk}}); err != nil {
		return nil, err
	}
	all := []address{}
	for range 16 {
		all = append(all, routes[0])
	}
	flows, err := openFlows(c, zoneA, all, requestGap)
	if err != nil {
		return nil, err
	}
	c.configure(2, routes, packetdesk)
	time.Sleep(configApply + time.Second)
	for _, result := range requestAll(flows, "second", requestGap) {
		if result != "answered" {
			return nil, fmt.Errorf("a second request ends with %q", result)
		}
	}
	if trouble {
		if err := roll(c); err != nil {
			return nil, err
		}
	}
	time.Sleep(stableWindow)
	return brokenFlows(c, flows, requestAll(flows, "third", requestGap)), nil
}

// roll stops and starts the agents and the balancers in turn.
func roll(c *cluster) error {
	for _, m := range append(c.list("side"), c.list("front")...) {
		if err := c.restart(m, syscall.SIGTERM); err != nil {
			return err
		}
		if err := c.awaitReady(c.machines, 5*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// oddEntry: another writer leaves an entry that has the address of a live host and names
// a service that no configuration knows. Then the agents and the balancers are stopped
// and started in turn, while the callers pause.
func oddEntry(c *cluster, trouble bool) ([]string, error) {
	routes := c.routes(1)
	c.configure(1, routes, clubroom)
	if err := deploy(c, []string{zoneA, zoneA}, [][2]string{{zoneA, clubroom}, {zoneA, clubroom}, {zoneA, packetdesk}}); err != nil {
		return nil, err
	}
	all := []address{}
	for range 16 {
		all = append(all, routes[0])
	}
	flows, err := openFlows(c, zoneA, all, requestGap)
	if err != nil {
		return nil, err
	}
	live := c.hosts[0]
	if trouble {
		entry := live.entry()
		entry["service"] = "elsewhere"
		c.store.put("servers/i-other-1", entry)
		c.record.add("another writer leaves the entry i-other-1 with the address of %s and the service %q", live.name, "elsewhere")
	}
	if err := roll(c); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	breaks := brokenFlows(c, flows, requestAll(flows, "second", requestGap))
	before := len(live.opened())
	if _, err := openFlows(c, zoneA, all, requestGap); err != nil {
		c.record.add("a new flow: %v", err)
	}
	c.record.add("of %d new flows %d reach host %s (not judged)", len(all), len(live.opened())-before, live.name)
	return breaks, nil
}

// manyAddresses: callers hold flows to many routes of one service. The routes move to
// another service; then one of the two balancers is restarted.
func manyAddresses(c *cluster, trouble bool) ([]string, error) {
	routes := c.routes(300)
	c.configure(1, routes, clubroom)
	if err := deploy(c, []string{zoneA, zoneA}, [][2]string{{zoneA, clubroom}, {zoneA, packetdesk}}); err != nil {
		return nil, err
	}
	flows, err := openFlows(c, zoneA, routes, requestGap/4)
	if err != nil {
		return nil, err
	}
	c.configure(2, routes, packetdesk)
	time.Sleep(configApply)
	if trouble {
		if err := c.restart(c.list("front")[0], syscall.SIGTERM); err != nil {
			return nil, err
		}
		if err := c.awaitReady(c.machines, 5*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	return brokenFlows(c, flows, requestAll(flows, "second", requestGap/20)), nil
}

// unusedFlows: callers open flows and send no request yet, such as the spare connections
// of a pool. The routes move to another service, and the balancers are stopped and
// started in turn.
func unusedFlows(c *cluster, trouble bool) ([]string, error) {
	routes := c.routes(1)
	c.configure(1, routes, clubroom)
	if err := deploy(c, []string{zoneA, zoneA}, [][2]string{{zoneA, clubroom}, {zoneA, clubroom}, {zoneA, packetdesk}}); err != nil {
		return nil, err
	}
	flows := []*clientFlow{}
	for range 8 {
		f, err := c.clients.open(zoneA, routes[0])
		if err != nil {
			return nil, err
		}
		flows = append(flows, f)
	}
	c.configure(2, routes, packetdesk)
	time.Sleep(configApply)
	if trouble {
		for _, m := range c.list("front") {
			if err := c.restart(m, syscall.SIGTERM); err != nil {
				return nil, err
			}
			if err := c.awaitReady(c.machines, 5*time.Second); err != nil {
				return nil, err
			}
		}
	}
	time.Sleep(time.Second)
	return brokenFlows(c, flows, requestAll(flows, "first", requestGap)), nil
}

// jump is how far the clock of a machine is ahead when its host starts.
const jump = 2400 * time.Millisecond

// clockAhead: a host starts while the clock of its machine is ahead, which ends at once.
// A second later the agent beside it is restarted. Then the only balancer of the zone is
// stopped, so that the clients' packets go through another zone.
func clockAhead(c *cluster, trouble bool) ([]string, error) {
	routes := c.routes(1)
	c.configure(1, routes, clubroom)
	if err := deploy(c, []string{zoneA, zoneB}, [][2]string{{zoneA, clubroom}, {zoneA, packetdesk}}); err != nil {
		return nil, err
	}
	ahead := time.Duration(0)
	if trouble {
		ahead = jump
	}
	if err := addSide(c, 3, zoneB, clubroom, ahead, 0); err != nil {
		return nil, err
	}
	agent := c.machines[len(c.machines)-1]
	if err := c.start(agent); err != nil {
		return nil, err
	}
	time.Sleep(700 * time.Millisecond) // the balancers use a new host after 0.4 s
	flows, err := openFlows(c, zoneB, []address{routes[0], routes[0], routes[0], routes[0], routes[0], routes[0]}, requestGap)
	if err != nil {
		return nil, err
	}
	if err := c.restart(agent, syscall.SIGTERM); err != nil {
		return nil, err
	}
	time.Sleep(stableWindow)
	front := c.list("front")[1]
	c.stop(front, syscall.SIGTERM)
	time.Sleep(2 * checkInterval)
	return brokenFlows(c, flows, requestAll(flows, "second", requestGap)), nil
}

const (
	// coldRate is cold-per-s, coldFactor cold-factor and coldSlack cold-slack.
	coldRate   = 40
	coldFactor = 1.5
	coldSlack  = 5
	coldStart  = 10 * time.Second
	// openInterval is the time between two new flows.
	openInterval = 5 * time.Millisecond
	// loadTime is how long clients open flows.
	loadTime = 5 * time.Second
)

// coldHost: the only host of a service has just started and is cold, and clients open
// flows to it. The agent beside it is killed and starts again.
func coldHost(c *cluster, trouble bool) ([]string, error) {
	routes := c.routes(1)
	c.coldRate, c.coldStart = coldRate, coldStart
	c.configure(1, routes, clubroom)
	if err := deploy(c, []string{zoneA, zoneA}, [][2]string{{zoneA, packetdesk}}); err != nil {
		return nil, err
	}
	if err := addSide(c, 2, zoneA, clubroom, 0, coldStart); err != nil {
		return nil, err
	}
	agent, cold := c.machines[len(c.machines)-1], c.hosts[len(c.hosts)-1]
	if err := c.start(agent); err != nil {
		return nil, err
	}
	time.Sleep(700 * time.Millisecond)
	sent := &sentTimes{first: map[flowKey]time.Time{}}
	var group sync.WaitGroup
	killed := !trouble
	for end := time.Now().Add(loadTime); time.Now().Before(end); time.Sleep(openInterval) {
		group.Add(1)
		go func() {
			defer group.Done()
			if f, err := c.clients.open(zoneA, routes[0]); err == nil {
				sent.add(f)
			}
		}()
		if !killed && len(cold.opened()) >= coldRate {
			killed = true
			go func() { _ = c.restart(agent, syscall.SIGKILL) }()
		}
	}
	group.Wait()
	return overloads(c, cold, sent), nil
}

// sentTimes has the time at which the client sent each first packet that was answered.
type sentTimes struct {
	mutex sync.Mutex
	first map[flowKey]time.Time
}

func (s *sentTimes) add(f *clientFlow) {
	f.mutex.Lock()
	at := f.startedAt
	f.mutex.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.first[f.key] = at
}

// overloads returns a line if the cold host got more flows in one second than it bears.
// Flows that were sent before that second began are not counted.
func overloads(c *cluster, h *host, sent *sentTimes) []string {
	limit := coldRate*coldFactor + coldSlack
	arrivals := h.opened()
	worst := 0
	for i, first := range arrivals {
		count := 0
		for _, a := range arrivals[i:] {
			at, known := sent.first[a.key]
			if a.at.Sub(first.at) < time.Second && known && !at.Before(first.at.Add(-2*time.Millisecond)) {
				count++
			}
		}
		worst = max(worst, count)
	}
	c.record.add("the cold host got %d flows; at most %d were sent and arrived within one second; the limit is %.0f", len(arrivals), worst, limit)
	if float64(worst) > limit {
		return []string{fmt.Sprintf("FAILBACK: cold host %s gets %d requests within one second, more than %.0f", h.name, worst, limit)}
	}
	return nil
}
