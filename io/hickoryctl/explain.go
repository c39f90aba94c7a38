package hickoryctl

import (
	"context"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/io/hickoryprogram"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// explanation is the view that one instance has of a flow.
type explanation struct {
	Instance hickoryid.InstanceID         `json:"instance"`
	Role     hickoryplatform.Role         `json:"role"`
	Error    string                       `json:"error,omitempty"`
	Reply    *hickorymessage.ExplainReply `json:"reply,omitempty"`
}

func (t *Tool) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show where the packets of a flow go and why",
		ArgsUsage: "tcp|udp SOURCE DESTINATION",
		Flags:     []cli.Flag{instancesURLFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			flow, err := parseFlow(command.Args().Slice())
			if err != nil {
				return hickoryprogram.InvalidInput(err)
			}
			views, err := t.explain(ctx, command, flow)
			if err != nil {
				return err
			}
			return t.write(command, views, func(w io.Writer) { printExplanations(w, views) })
		},
	}
}

func parseFlow(arguments []string) (hickorymessage.Flow, error) {
	const argumentCount = 3
	if len(arguments) != argumentCount {
		return hickorymessage.Flow{}, cli.Exit("explain takes a protocol, a source and a destination", hickoryprogram.ExitInvalid)
	}
	protocols := map[string]hickorymodel.Protocol{"tcp": hickorymodel.ProtocolTCP, "udp": hickorymodel.ProtocolUDP}
	protocol, ok := protocols[arguments[0]]
	if !ok {
		return hickorymessage.Flow{}, cli.Exit("the protocol is tcp or udp", hickoryprogram.ExitInvalid)
	}
	flow := hickorymessage.Flow{
		Protocol:    int(protocol),
		Source:      hickoryid.Endpoint(arguments[1]),
		Destination: hickoryid.Endpoint(arguments[2]),
	}
	_, err := hickorymodel.ParseFlowKey(flow)
	return flow, err
}

func (t *Tool) explain(ctx context.Context, command *cli.Command, flow hickorymessage.Flow) ([]explanation, error) {
	instances, err := t.instances(ctx, command)
	if err != nil {
		return nil, err
	}
	views := make([]explanation, len(instances))
	eachInstance(instances, func(i int, instance hickoryplatform.Instance) {
		views[i] = explanation{Instance: instance.ID, Role: instance.Role}
		var reply hickorymessage.ExplainReply
		if err := t.call(ctx, instance, "status.Explain", hickorymessage.ExplainRequest{Flow: flow}, &reply); err != nil {
			views[i].Error = err.Error()
			return
		}
		views[i].Reply = &reply
	})
	return views, nil
}

// printExplanations leaves out agents of other services.
func printExplanations(w io.Writer, views []explanation) {
	printf(w, "INSTANCE\tROLE\tSERVICE\tGENERATION\tBUCKET\tTRANSITION\tFLOW\tOWNER\tCANDIDATES\n")
	for _, view := range views {
		switch {
		case view.Reply == nil:
			printf(w, "%s\t%s\tno answer: %s\n", view.Instance, view.Role, view.Error)
		case view.Reply.Found:
			printExplanation(w, view)
		case view.Role == hickoryplatform.RoleBalancer:
			printf(w, "%s\t%s\tno service has the destination address\n", view.Instance, view.Role)
		default:
		}
	}
}

func printExplanation(w io.Writer, view explanation) {
	flow, owner := "-", "-"
	if view.Reply.View != nil {
		flow = string(*view.Reply.View)
	}
	if view.Reply.Owner != nil {
		owner = string(*view.Reply.Owner)
	}
	candidates := ""
	for _, candidate := range view.Reply.Candidates {
		name := string(candidate.Endpoint)
		if candidate.Upstream != nil {
			name = string(*candidate.Upstream)
		}
		candidates += name + "(" + string(candidate.State) + ") "
	}
	printf(w, "%s\t%s\t%s\t%d\t%d\t%t\t%s\t%s\t%s\n", view.Instance, view.Role, *view.Reply.Service,
		*view.Reply.Generation, *view.Reply.Bucket, *view.Reply.Transition, flow, owner, candidates)
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
