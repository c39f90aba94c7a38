package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is one program of the system under test, on a machine of its own.
type process struct {
	world    *world
	name     string
	command  []string
	settings string

	mutex    sync.Mutex
	running  *exec.Cmd
	ended    chan struct{}
	expected bool
}

// placeholder matches {{name}} and {{name|json}} of the templates in deploy/.
var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// render fills in a template of the deploy folder.
func render(template string, values map[string]any) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	return placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		match := placeholder.FindStringSubmatch(found)
		value := values[match[1]]
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	}), nil
}

// newProcess writes the settings of a process. Run is the command of the deploy file.
func newProcess(w *world, name, run, template string, values map[string]any) (*process, error) {
	text, err := render(template, values)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.folder, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	command := strings.Fields(strings.ReplaceAll(run, "/etc/hickoryworks/local.conf", path))
	return &process{world: w, name: name, command: command, settings: path}, nil
}

func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.world.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.command[0], p.command[1:]...)
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "HICKORYWORKS_BOOT=" + p.settings}
	if err := command.Start(); err != nil {
		return err
	}
	p.mutex.Lock()
	p.running, p.ended, p.expected = command, make(chan struct{}), false
	ended := p.ended
	p.mutex.Unlock()
	go func() {
		err := command.Wait()
		_ = log.Close()
		p.mutex.Lock()
		expected := p.expected
		p.mutex.Unlock()
		if !expected {
			p.world.breaks("Fault", "%s ended by itself: %v", p.name, err)
		}
		close(ended)
	}()
	p.world.record.add("%s starts", p.name)
	return nil
}

// ticksPerSecond is the unit of the processor times in /proc.
const ticksPerSecond = 100

// processorTime returns the processor time that the process has used.
func (p *process) processorTime() time.Duration {
	p.mutex.Lock()
	pid := p.running.Process.Pid
	p.mutex.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, found := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if err != nil || !found || len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// stop sends a signal that ends the process, and SIGKILL after the grace time.
func (p *process) stop(signal syscall.Signal) {
	p.mutex.Lock()
	p.expected = true
	command, ended := p.running, p.ended
	p.mutex.Unlock()
	if command == nil {
		return
	}
	p.world.record.add("%s gets signal %d", p.name, signal)
	_ = command.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(graceTime):
		_ = command.Process.Kill()
		<-ended
	}
}
