package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the pause between the end of a process and its next start.
const restartDelay = 500 * time.Millisecond

// record collects what is sent, answered and run.
type record struct {
	mutex sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// ports are the ports of all machines.
type ports struct {
	datagram, ready, control, internal0, internal1, app, outbound uint16
}

// machine is a machine with one process of the load balancer.
type machine struct {
	name     string
	class    string // front or side
	zone     string
	ip       [4]byte
	settings string // path of its settings file
	run      []string

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	folder   string
	record   *record
	store    *store
	ports    ports
	base     [2]byte
	machines []*machine
	hosts    []*host
	router   *router
	clients  *clientMachine
	// coldRate and coldStart are cold-per-s and cold-start-s of the services.
	coldRate  float64
	coldStart time.Duration
}

// ip returns a loopback address of the cluster.
func (c *cluster) ip(group, number byte) [4]byte {
	return [4]byte{127, c.base[0], c.base[1], group*32 + number}
}

// freePorts finds ports that are free on all loopback addresses.
func freePorts(count int) ([]uint16, error) {
	list := []uint16{}
	for len(list) < count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		port := uint16(listener.Addr().(*net.TCPAddr).Port)
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: int(port)})
		if err != nil {
			continue
		}
		defer func() { _ = conn.Close() }()
		list = append(list, port)
	}
	return list, nil
}

func newCluster(r *record) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	c := &cluster{folder: folder, record: r, coldStart: 2 * time.Second, base: [2]byte{byte(20 + pid%200), byte(pid / 200 % 250)}}
	list, err := freePorts(7)
	if err != nil {
		return nil, err
	}
	c.ports = ports{list[0], list[1], list[2], list[3], list[4], list[5], list[6]}
	storePorts, err := freePorts(1)
	if err != nil {
		return nil, err
	}
	if c.store, err = startStore(c.storeEndpoint(storePorts[0])); err != nil {
		return nil, err
	}
	c.router = newRouter(c)
	c.clients, err = newClientMachine(c)
	return c, err
}

func (c *cluster) storeEndpoint(port uint16) string {
	endpoint := address{c.ip(0, 1), port}.String()
	c.record.add("the store listens at %s", endpoint)
	storeEndpoint = endpoint
	return endpoint
}

// storeEndpoint is the address of the store, for the settings.
var storeEndpoint string

// addMachine prepares a machine: it renders the settings from the template of the
// deploy file.
func (c *cluster) addMachine(class, zone string, ip [4]byte, service string) (*machine, error) {
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, ip[3]%32), class: class, zone: zone, ip: ip}
	role, template := "hickory-balancer", "deploy/balancer.yaml"
	if class == "side" {
		role, template = "hickory-agent", "deploy/agent.yaml"
	}
	m.settings = filepath.Join(c.folder, m.name+".conf")
	m.run = []string{"target/" + role, "--settings", m.settings}
	at := func(port uint16) string { return address{ip, port}.String() }
	seeds := []string{}
	for i := byte(1); i <= 3; i++ {
		seeds = append(seeds, address{c.ip(1, i), c.ports.control}.String())
	}
	values := map[string]any{
		"node-name": m.name, "zone": zone, "ip": net.IP(ip[:]).String(), "service": service,
		"listen.datagram-addr": at(c.ports.datagram), "listen.ready": at(c.ports.ready), "listen.control": at(c.ports.control),
		"listen.outbound": at(c.ports.outbound), "app": at(c.ports.app), "internal-ports.0": c.ports.internal0,
		"internal-ports.1": c.ports.internal1, "seeds": seeds, "platform.address": storeEndpoint,
	}
	content, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(m.settings, render(string(content), values), 0o600); err != nil {
		return nil, err
	}
	c.machines = append(c.machines, m)
	return m, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// render fills in the placeholders of a template.
func render(template string, values map[string]any) []byte {
	return []byte(placeholder.ReplaceAllStringFunc(template, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value := values[parts[1]]
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		content, _ := json.Marshal(value)
		return string(content)
	}))
}

// start starts the process of a machine.
func (c *cluster) start(m *machine) error {
	output, err := os.OpenFile(filepath.Join(c.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(m.run[0], m.run[1:]...)
	command.Stdout, command.Stderr = output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HICKORYWORKS_BOOT=" + m.settings}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mutex.Lock()
	m.process, m.ended = command, ended
	m.mutex.Unlock()
	c.record.add("%s starts (process %d)", m.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		_ = output.Close()
		c.record.add("%s has ended (%v)", m.name, err)
		close(ended)
	}()
	return nil
}

// stop sends a signal to the process of a machine and waits for its end. After SIGTERM it
// sends SIGKILL when the grace time is over.
func (c *cluster) stop(m *machine, signal syscall.Signal) {
	m.mutex.Lock()
	process, ended := m.process, m.ended
	m.mutex.Unlock()
	if process == nil {
		return
	}
	c.record.add("%s gets the signal %v", m.name, signal)
	_ = process.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(graceTime):
		_ = process.Process.Kill()
		<-ended
	}
}

// graceTime is grace-s.
const graceTime = 6 * time.Second

// restart stops a process and starts it again.
func (c *cluster) restart(m *machine, signal syscall.Signal) error {
	c.stop(m, signal)
	time.Sleep(restartDelay)
	return c.start(m)
}

// ready reports whether a machine answers its readiness check with 200.
func (c *cluster) ready(m *machine) bool {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address{m.ip, c.ports.ready}.String() + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (c *cluster) awaitReady(list []*machine, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range list {
		for !c.ready(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", m.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes.
func (c *cluster) close() {
	for _, m := range c.machines {
		c.stop(m, syscall.SIGKILL)
	}
	for _, h := range c.hosts {
		h.close()
	}
	if c.router != nil {
		close(c.router.done)
	}
	for _, m := range c.machines {
		c.copyLosses(m)
	}
	_ = os.RemoveAll(c.folder)
}

// copyLosses adds the log lines of a process on searches and resets to the record.
func (c *cluster) copyLosses(m *machine) {
	content, err := os.ReadFile(filepath.Join(c.folder, m.name+".log"))
	if err != nil {
		return
	}
	for _, line := range strings.Split(string(content), "\n") {
		for _, name := range []string{"FlowLost", "FlowNotFound", "panic", "DutyFailed"} {
			if strings.Contains(line, name) {
				c.record.add("log of %s: %s", m.name, line)
			}
		}
	}
}
