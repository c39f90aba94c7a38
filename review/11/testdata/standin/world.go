package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	portApp         = 8165
	portControl     = 8166
	portReady       = 8167
	portStore       = 8169
	portDatagram    = 8172
	portOutbound    = 8162
	portInternal    = 7720
	portInternalEnd = 7735
)

// Bounds of the deployments, as the settings of the sites name them.
const (
	stableWindow  = 4 * time.Second
	drainBound    = 3 * time.Second
	evacuateBound = 5 * time.Second
	graceTime     = 6 * time.Second
)

// route is one route of the configuration.
type route struct {
	name    string
	address netip.AddrPort
	service string
}

// opening is the first packet of a flow that a host took.
type opening struct {
	at   time.Time
	host *host
	// id is the attempt's, sent when its client began it.
	id   string
	sent time.Time
}

// world is a small deployment: the store, front machines, machines with a host, clients.
type world struct {
	record  *record
	folder  string
	network string
	store   *store
	routes  []route
	zones   []string

	fronts   []*process
	agents   []*process
	frontIPs map[*process]string
	// zoneOf has the zone of each process.
	zoneOf  map[*process]string
	hosts   []*host
	clients []*client

	mutex    sync.Mutex
	rotation map[string][]netip.AddrPort
	openings []opening
	runs     map[string]int
	attempts map[flowKey]*attempt
	outcomes map[outcome]int
	// lastHost is the id of the host that took an attempt's flow last; unanswered has the
	// attempts whose flow was open and that got no answer.
	lastHost   map[string]string
	unanswered []string
	broken     []string
	version    int
	// coldPerSecond is what a cold host bears, by the configuration; 0 states nothing.
	coldPerSecond float64
	ended         bool
}

// newWorld starts the processes of a deployment. Stop has to be called in any case.
func newWorld(record *record) (*world, error) {
	w := &world{
		record: record, zones: []string{"antioquia-a", "antioquia-b"},
		frontIPs: map[*process]string{}, zoneOf: map[*process]string{},
		rotation: map[string][]netip.AddrPort{}, runs: map[string]int{}, attempts: map[flowKey]*attempt{},
		outcomes: map[outcome]int{}, lastHost: map[string]string{},
		routes: []route{
			{"r-orders", netip.MustParseAddrPort("127.198.18.1:443"), "cocina-pedidos"},
			{"r-sheets", netip.MustParseAddrPort("127.198.18.2:443"), "hojas-guia"},
		},
	}
	var err error
	if w.folder, err = os.MkdirTemp("", "review"); err != nil {
		return w, err
	}
	listener, err := w.findNetwork()
	if err != nil {
		return w, err
	}
	w.store = newStore(listener, record)
	w.publish(w.routes, 2000)
	return w, nil
}

// findNetwork finds a loopback network that is not in use.
func (w *world) findNetwork() (net.Listener, error) {
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(150), 1+rand.IntN(250))
		if listener, err := net.Listen("tcp4", w.socket(1, portStore)); err == nil {
			return listener, nil
		}
	}
	return nil, fmt.Errorf("no free loopback network")
}

func (w *world) ip(machine int) string {
	return fmt.Sprintf("%s.%d", w.network, machine)
}

func (w *world) socket(machine, port int) string {
	return fmt.Sprintf("%s:%d", w.ip(machine), port)
}

// publish writes the next version of the configuration.
func (w *world) publish(routes []route, timeout int) (time.Time, bool) {
	w.version++
	texts := []string{}
	for _, r := range routes {
		texts = append(texts, fmt.Sprintf(`{"name":%q,"host":%q,"prefix":"/%d/","kind":"non_idempotent","timeout-ms":%d,"target-latency-ms":150,"priority":1,"service":%q,"max-attempts":2}`,
			r.name, r.address.Addr(), r.address.Port(), timeout, r.service))
	}
	services := []string{}
	for _, name := range []string{"cocina-pedidos", "hojas-guia"} {
		services = append(services, fmt.Sprintf(`{"name":%q,"health-path":"/health","max-conns":2000,"protocol":"h1","tls":false,"cold-start-s":%g,"cold-per-s":%g}`, name, coldStart.Seconds(), w.coldPerSecond))
	}
	return w.store.put("op/config", fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[%s],"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		w.version, strings.Join(texts, ","), strings.Join(services, ",")))
}

// coldStart is how long a host is cold after its start.
const coldStart = 2 * time.Second

// runOf returns the command of a role in the deploy file.
func runOf(role string) (string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", err
	}
	_, section, found := strings.Cut(string(text), "[roles."+role+"]")
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindStringSubmatch(section)
	if !found || match == nil {
		return "", fmt.Errorf("no role %s in the deploy file", role)
	}
	return match[1], nil
}

// seeds are the control sockets of three front machines.
func (w *world) seeds() []string {
	return []string{w.socket(11, portControl), w.socket(12, portControl), w.socket(13, portControl)}
}

func (w *world) values(machine int, name, zone, service string) map[string]any {
	return map[string]any{
		"node-name": name, "zone": zone, "service": service, "ip": w.ip(machine), "seeds": w.seeds(),
		"listen.datagram-addr": w.socket(machine, portDatagram), "listen.control": w.socket(machine, portControl),
		"listen.ready": w.socket(machine, portReady), "listen.outbound": w.socket(machine, portOutbound),
		"app": w.socket(machine, portApp), "internal-ports.0": portInternal, "internal-ports.1": portInternalEnd,
		"limits.link-mbps": 1000.0, "platform.address": w.socket(1, portStore),
	}
}

// addFront adds a front machine.
func (w *world) addFront(machine int, zone string) error {
	run, err := runOf("balancer")
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-%s-%d", zone, machine)
	p, err := newProcess(w, name, run, "deploy/balancer.yaml", w.values(machine, name, zone, ""))
	if err != nil {
		return err
	}
	w.fronts = append(w.fronts, p)
	w.frontIPs[p], w.zoneOf[p] = w.ip(machine), zone
	return p.start()
}

// addHost adds a machine with a host and its agent. The host is started if it has an id.
func (w *world) addHost(machine int, zone, service, id string, work, cold time.Duration) (*host, error) {
	run, err := runOf("agent")
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(w.ip(machine)), Port: portApp})
	if err != nil {
		return nil, err
	}
	h := &host{world: w, service: service, zone: zone, ip: w.ip(machine), conn: conn, work: work,
		outbound: netip.MustParseAddrPort(w.socket(machine, portOutbound))}
	name := fmt.Sprintf("side-%s-%d", zone, machine)
	p, err := newProcess(w, name, run, "deploy/agent.yaml", w.values(machine, name, zone, service))
	if err != nil {
		return nil, err
	}
	w.agents = append(w.agents, p)
	w.zoneOf[p] = zone
	w.hosts = append(w.hosts, h)
	if err := p.start(); err != nil {
		return nil, err
	}
	go h.receive()
	if id != "" {
		h.start(id, cold)
	}
	return h, nil
}

// addClient adds the clients of a zone.
func (w *world) addClient(machine int, zone string) (*client, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(w.ip(machine)), Port: portDatagram})
	if err != nil {
		return nil, err
	}
	c := &client{world: w, zone: zone, conn: conn, inboxes: map[uint16]chan packet{}}
	w.clients = append(w.clients, c)
	go c.receive()
	return c, nil
}

// startSmall starts two zones with two front machines, three hosts of the first service and
// one of the second each, and waits until all front machines are ready.
func (w *world) startSmall() error {
	for i, zone := range w.zones {
		for j := range 2 {
			if err := w.addFront(11+2*i+j, zone); err != nil {
				return err
			}
		}
		for j := range 3 {
			if _, err := w.addHost(21+3*i+j, zone, "cocina-pedidos", fmt.Sprintf("i-orders-%d%d", i, j), orderWork, 0); err != nil {
				return err
			}
		}
		if _, err := w.addHost(31+i, zone, "hojas-guia", fmt.Sprintf("i-sheets-%d", i), sheetWork, 0); err != nil {
			return err
		}
		if _, err := w.addClient(41+i, zone); err != nil {
			return err
		}
	}
	go w.checkReadiness()
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		w.mutex.Lock()
		ready := 0
		for _, nodes := range w.rotation {
			ready += len(nodes)
		}
		w.mutex.Unlock()
		if ready == len(w.fronts) {
			w.record.add("all front machines are ready")
			return nil
		}
	}
	return fmt.Errorf("not all front machines became ready")
}

// checkReadiness keeps the rotation: two checks a second, out after two misses. With fewer
// than half of a zone's nodes in rotation, all of them are used.
func (w *world) checkReadiness() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := map[*process]int{}
	for _, p := range w.fronts {
		misses[p] = 2
	}
	for !w.isEnded() {
		in, all := map[string][]netip.AddrPort{}, map[string][]netip.AddrPort{}
		for _, p := range w.fronts {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", w.frontIPs[p], portReady))
			misses[p]++
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					misses[p] = 0
				}
			}
			zone := w.zoneOf[p]
			node := netip.AddrPortFrom(netip.MustParseAddr(w.frontIPs[p]), portDatagram)
			all[zone] = append(all[zone], node)
			if misses[p] < 2 {
				in[zone] = append(in[zone], node)
			}
		}
		for zone := range all {
			if n := len(in[zone]); n > 0 && 2*n < len(all[zone]) {
				in[zone] = all[zone]
			}
		}
		w.mutex.Lock()
		w.rotation = in
		w.mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

// route returns the front machine that gets a packet of a flow.
func (w *world) route(zone string, key flowKey) (netip.AddrPort, bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	nodes := w.rotation[zone]
	for _, other := range w.zones {
		if len(nodes) == 0 {
			nodes = w.rotation[other]
		}
	}
	if len(nodes) == 0 {
		return netip.AddrPort{}, false
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(key.client.String() + key.route.String()))
	return nodes[int(hash.Sum32())%len(nodes)], true
}

// traffic sends requests at a rate for a time, spread over the zones, and returns when the
// last one has ended.
func (w *world) traffic(length time.Duration, perSecond int) {
	var attempts sync.WaitGroup
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for begun, i := time.Now(), 0; time.Since(begun) < length; i++ {
		<-ticker.C
		r := w.routes[0]
		if i%5 == 4 {
			r = w.routes[1]
		}
		c := w.clients[i%len(w.clients)]
		attempts.Go(func() { c.request(r.address, r.service) })
	}
	attempts.Wait()
}

func (w *world) recordAttempt(a *attempt) {
	w.mutex.Lock()
	w.attempts[a.key] = a
	w.mutex.Unlock()
	w.record.add("request %s sent to %s", a.id, a.key.route)
}

func (w *world) recordOutcome(a *attempt, result outcome) {
	w.mutex.Lock()
	w.outcomes[result]++
	if result == outcomeUnanswered || result == outcomeReset {
		w.unanswered = append(w.unanswered, a.id)
	}
	w.mutex.Unlock()
	w.record.add("request %s: %s", a.id, result)
}

func (w *world) recordOpening(h *host, key flowKey) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	a := w.attempts[key]
	if a == nil {
		return
	}
	w.lastHost[a.id] = h.id
	w.openings = append(w.openings, opening{at: time.Now(), host: h, id: a.id, sent: a.began})
	w.record.add("request %s reaches host %s", a.id, h.id)
}

func (w *world) recordRun(h *host, id string) {
	w.mutex.Lock()
	w.runs[id]++
	runs := w.runs[id]
	w.mutex.Unlock()
	w.record.add("request %s runs at host %s", id, h.id)
	if runs > 1 {
		w.breaks("UNASKED", "request %s runs %d times", id, runs)
	}
}

// recordReset checks a reset of an open flow: its host must have lost the flow.
func (w *world) recordReset(a *attempt) {
	for _, h := range w.hosts {
		h.mutex.Lock()
		f := h.flows[a.key]
		held := h.running && f != nil && f.open
		h.mutex.Unlock()
		if held {
			w.breaks("FLOW", "request %s was reset while its host holds the flow", a.id)
		}
	}
}

// openingsBetween returns the first packets that hosts took between two times.
func (w *world) openingsBetween(from, until time.Time) []opening {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	found := []opening{}
	for _, o := range w.openings {
		if o.at.After(from) && o.at.Before(until) {
			found = append(found, o)
		}
	}
	return found
}

// breaks records that a rule is broken.
func (w *world) breaks(rule, format string, arguments ...any) {
	w.mutex.Lock()
	first := len(w.broken) < 20
	w.broken = append(w.broken, rule)
	w.mutex.Unlock()
	line := fmt.Sprintf("%s broken: "+format, append([]any{rule}, arguments...)...)
	if first {
		w.record.say("%s", line)
	} else {
		w.record.add("%s", line)
	}
}

func (w *world) isEnded() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.ended
}

// stop ends all processes. Logs are kept if KEEP names a folder.
func (w *world) stop() {
	w.mutex.Lock()
	w.ended = true
	w.mutex.Unlock()
	var ending sync.WaitGroup
	for _, p := range append(append([]*process{}, w.fronts...), w.agents...) {
		ending.Go(func() { p.stop(syscall.SIGKILL) })
	}
	ending.Wait()
	if w.store != nil {
		_ = w.store.server.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.RemoveAll(keep)
		_ = os.Rename(w.folder, keep)
	}
	if filepath.IsAbs(w.folder) {
		_ = os.RemoveAll(w.folder)
	}
}

// summary says how the attempts ended.
func (w *world) summary() {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.record.say("outcomes: %v", w.outcomes)
}
