package hickoryctl

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// instanceStatus is the status of one listed instance. Status is nil when the call
// failed; Error says why.
type instanceStatus struct {
	Instance hickoryid.InstanceID `json:"instance"`
	// State is the instance's state in the platform's list.
	State  string                      `json:"state"`
	Error  string                      `json:"error,omitempty"`
	Status *hickorymessage.StatusReply `json:"status,omitempty"`
}

func (t *Tool) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show generation, age, zone, health and drops of every instance; exit 1 when one does not answer",
		Flags: []cli.Flag{instancesURLFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			statuses, err := t.statuses(ctx, command)
			if err != nil {
				return err
			}
			if err := t.write(command, statuses, func(w io.Writer) { printStatuses(w, statuses) }); err != nil {
				return err
			}
			for _, status := range statuses {
				if status.Status == nil {
					return cli.Exit("some instances did not answer", 1)
				}
			}
			return nil
		},
	}
}

func (t *Tool) statuses(ctx context.Context, command *cli.Command) ([]instanceStatus, error) {
	instances, err := t.instances(ctx, command)
	if err != nil {
		return nil, err
	}
	statuses := make([]instanceStatus, len(instances))
	forEachInstance(instances, func(i int, instance hickoryplatform.Instance) {
		statuses[i] = instanceStatus{Instance: instance.ID, State: string(instance.State)}
		var reply hickorymessage.StatusReply
		if err := t.call(ctx, instance, "status.Status", hickorymessage.StatusRequest{}, &reply); err != nil {
			statuses[i].Error = err.Error()
			return
		}
		statuses[i].Status = &reply
	})
	return statuses, nil
}

// forEachInstance calls visit for every instance, parallelCalls at a time, and returns
// when all calls have returned.
func forEachInstance(instances []hickoryplatform.Instance, visit func(int, hickoryplatform.Instance)) {
	var group sync.WaitGroup
	semaphore := make(chan struct{}, parallelCalls)
	for i, instance := range instances {
		semaphore <- struct{}{}
		group.Go(func() {
			visit(i, instance)
			<-semaphore
		})
	}
	group.Wait()
}

// call calls an RPC method of an instance. It fails after callTimeout.
func (t *Tool) call(ctx context.Context, instance hickoryplatform.Instance, method string, request, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return t.rpc.Call(ctx, instance.ControlEndpoint, method, request, reply)
}

func printStatuses(w io.Writer, statuses []instanceStatus) {
	printf(w, "INSTANCE\tROLE\tZONE\tLISTED\tUPTIME\tFRESH\tDRAINING\tGENERATION\tFLOWS\tDROPS\n")
	for _, s := range statuses {
		if s.Status == nil {
			printf(w, "%s\t-\t-\t%s\tno answer: %s\n", s.Instance, s.State, s.Error)
			continue
		}
		flows := "-"
		if s.Status.Upstream != nil {
			flows = itoa(s.Status.Upstream.Load.Flows)
		}
		uptime := time.Duration(s.Status.UptimeMillis) * time.Millisecond
		printf(w, "%s\t%s\t%s\t%s\t%s\t%t\t%t\t%s\t%s\t%s\n",
			s.Instance, s.Status.Role, s.Status.Zone, s.State, uptime.Round(time.Second), s.Status.Fresh,
			s.Status.Draining, generations(s.Status), flows, drops(s.Status))
	}
}

// generations formats the range of generations that the instance uses for its
// services.
func generations(status *hickorymessage.StatusReply) string {
	if len(status.Services) == 0 {
		return "none"
	}
	lowest, highest := status.Services[0].Generation, status.Services[0].Generation
	for _, service := range status.Services {
		lowest = min(lowest, service.Generation)
		highest = max(highest, service.Generation)
	}
	if lowest == highest {
		return itoa(int(lowest))
	}
	return itoa(int(lowest)) + "-" + itoa(int(highest))
}

// drops formats the number of dropped packets for each reason.
func drops(status *hickorymessage.StatusReply) string {
	text := ""
	for _, drop := range status.Drops {
		text += string(drop.Reason) + "=" + itoa(drop.Count) + " "
	}
	if text == "" {
		return "none"
	}
	return text[:len(text)-1]
}
