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

// explanation says where one instance sends the packets of a flow. Reply is nil when the
// call of the instance failed; Error says why.
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
		Flags:     []cli.Flag{optionalInstancesURLFlag(), balancersCLIFlag()},
		Action: func(ctx context.Context, command *cli.Command) error {
			flow, err := parseFlow(command.Args().Slice())
			if err != nil {
				return hickoryprogram.InvalidInput(err)
			}
			balancers, err := parseBalancers(command)
			if err != nil {
				return hickoryprogram.InvalidInput(err)
			}
			if len(balancers) > 0 {
				return t.explainChoices(ctx, command, balancers, flow)
			}
			explanations, err := t.explain(ctx, command, flow)
			if err != nil {
				return err
			}
			return t.write(command, explanations, func(w io.Writer) { printExplanations(w, explanations) })
		},
	}
}

// parseFlow parses the arguments of the command: a protocol, a source endpoint and a
// destination endpoint.
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

// explain asks every listed instance about a flow.
func (t *Tool) explain(ctx context.Context, command *cli.Command, flow hickorymessage.Flow) ([]explanation, error) {
	instances, err := t.instances(ctx, command)
	if err != nil {
		return nil, err
	}
	explanations := make([]explanation, len(instances))
	forEachInstance(instances, func(i int, instance hickoryplatform.Instance) {
		explanations[i] = explanation{Instance: instance.ID, Role: instance.Role}
		var reply hickorymessage.ExplainReply
		if err := t.call(ctx, instance, "status.Explain", hickorymessage.ExplainRequest{Flow: flow}, &reply); err != nil {
			explanations[i].Error = err.Error()
			return
		}
		explanations[i].Reply = &reply
	})
	return explanations, nil
}

// printExplanations prints one row for each instance. Agents of services other than
// the flow's have no row.
func printExplanations(w io.Writer, explanations []explanation) {
	printf(w, "INSTANCE\tROLE\tSERVICE\tGENERATION\tBUCKET\tTRANSITION\tFLOW\tOWNER\tCANDIDATES\n")
	for _, explained := range explanations {
		switch {
		case explained.Reply == nil:
			printf(w, "%s\t%s\tno answer: %s\n", explained.Instance, explained.Role, explained.Error)
		case explained.Reply.Found:
			printExplanation(w, explained)
		case explained.Role == hickoryplatform.RoleBalancer:
			printf(w, "%s\t%s\tno service has the destination address\n", explained.Instance, explained.Role)
		default:
		}
	}
}

func printExplanation(w io.Writer, explained explanation) {
	flow, owner := "-", "-"
	if explained.Reply.View != nil {
		flow = string(*explained.Reply.View)
	}
	if explained.Reply.Owner != nil {
		owner = string(*explained.Reply.Owner)
	}
	candidates := ""
	for _, candidate := range explained.Reply.Candidates {
		name := string(candidate.Endpoint)
		if candidate.Upstream != nil {
			name = string(*candidate.Upstream)
		}
		candidates += name + "(" + string(candidate.State) + ") "
	}
	printf(w, "%s\t%s\t%s\t%d\t%d\t%t\t%s\t%s\t%s\n", explained.Instance, explained.Role, *explained.Reply.Service,
		*explained.Reply.Generation, *explained.Reply.Bucket, *explained.Reply.Transition, flow, owner, candidates)
}

func itoa(n int) string {
	return strconv.Itoa(n)
}
