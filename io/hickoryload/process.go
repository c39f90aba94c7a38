package hickoryload

import (
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"

	"github.com/pkg/errors"

	"hickoryworks/schema/hickoryid"
)

// role is the file name of a program.
type role string

const (
	roleBalancer role = "hickory-balancer"
	roleAgent    role = "hickory-agent"
	roleStandin  role = "hickory-standin"
)

// process is one process of a cluster. program, settings and log are paths.
type process struct {
	role     role
	instance hickoryid.InstanceID
	program  string
	settings string
	log      string
	command  *exec.Cmd
	logFile  *os.File
}

func (p *process) start() error {
	var err error
	if p.logFile, err = os.Create(p.log); err != nil {
		return errors.Wrapf(err, "create log of %s", p.instance)
	}
	p.command = exec.Command(p.program, "--settings", p.settings)
	p.command.Stderr = p.logFile
	return errors.Wrapf(p.command.Start(), "start %s", p.instance)
}

func (p *process) signal(signal syscall.Signal) error {
	return errors.Wrapf(p.command.Process.Signal(signal), "signal %s", p.instance)
}

// stop kills the process, which may be running, paused or dead, and waits for its
// end.
func (p *process) stop() {
	if p.command == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	_ = p.logFile.Close()
}

// usage holds the processor time and the memory that a process has used so far.
type usage struct {
	processorSeconds float64
	residentBytes    int
}

// Fields of /proc/<pid>/stat after the program's name, counted from 0, and the
// clock ticks of the kernel, which are 100 a second on all supported platforms.
const (
	statUserTime   = 11
	statSystemTime = 12
	statResident   = 21
	ticksPerSecond = 100
)

// usage reads the usage from /proc. It returns false if there is none to read because
// the process has ended.
func (p *process) usage() (usage, bool) {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(p.command.Process.Pid) + "/stat")
	if err != nil {
		return usage{}, false
	}
	text := string(content)
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	if len(fields) <= statResident {
		return usage{}, false
	}
	number := func(field int) int {
		value, _ := strconv.Atoi(fields[field])
		return value
	}
	return usage{
		processorSeconds: float64(number(statUserTime)+number(statSystemTime)) / ticksPerSecond,
		residentBytes:    number(statResident) * os.Getpagesize(),
	}, true
}
