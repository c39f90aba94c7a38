package hickoryctl

import (
	"context"
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// choiceMethod is the RPC method by which a balancer of a datagram fabric explains where
// it would send a new flow.
const choiceMethod = "choice.Explain"

// choiceExplanation says where one balancer would send a new flow. Reply is nil when the
// call failed; Error says why.
type choiceExplanation struct {
	Balancer hickoryid.Endpoint          `json:"balancer"`
	Error    string                      `json:"error,omitempty"`
	Reply    *hickorymessage.ChoiceReply `json:"reply,omitempty"`
}

func balancersCLIFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:  balancersFlag,
		Usage: "ask the balancer of a datagram fabric with the control socket `HOST:PORT`; may be repeated",
	}
}

// parseBalancers returns the control sockets that the flags name. One of the two flags
// that say whom to ask must be set.
func parseBalancers(command *cli.Command) ([]hickoryid.Endpoint, error) {
	names := command.StringSlice(balancersFlag)
	if len(names) == 0 && command.String(instancesFlag) == "" {
		return nil, errors.Errorf("one of --%s and --%s is required", instancesFlag, balancersFlag)
	}
	balancers := make([]hickoryid.Endpoint, 0, len(names))
	for _, name := range names {
		if _, err := hickorymodel.ParseEndpoint(hickoryid.Endpoint(name)); err != nil {
			return nil, errors.Errorf("--%s: %q is no address with a port", balancersFlag, name)
		}
		balancers = append(balancers, hickoryid.Endpoint(name))
	}
	return balancers, nil
}

// explainChoices asks balancers of a datagram fabric where they would send a flow, and
// fails if none has answered.
func (t *Tool) explainChoices(ctx context.Context, command *cli.Command, balancers []hickoryid.Endpoint, flow hickorymessage.Flow) error {
	request := hickorymessage.ChoiceRequest{Caller: flow.Source, Address: flow.Destination}
	explanations := make([]choiceExplanation, len(balancers))
	answered := false
	for i, balancer := range balancers {
		explanations[i].Balancer = balancer
		reply, err := t.askChoice(ctx, balancer, request)
		if err != nil {
			explanations[i].Error = err.Error()
			continue
		}
		explanations[i].Reply = reply
		answered = true
	}
	if err := t.write(command, explanations, func(w io.Writer) { printChoices(w, explanations) }); err != nil {
		return err
	}
	if !answered {
		return errors.New("explain: no balancer answered")
	}
	return nil
}

func (t *Tool) askChoice(ctx context.Context, balancer hickoryid.Endpoint, request hickorymessage.ChoiceRequest) (*hickorymessage.ChoiceReply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply hickorymessage.ChoiceReply
	if err := t.rpc.Call(ctx, balancer, choiceMethod, &request, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

func printChoices(w io.Writer, explanations []choiceExplanation) {
	for _, explained := range explanations {
		reply := explained.Reply
		switch {
		case reply == nil:
			printf(w, "balancer %s: no answer: %s\n", explained.Balancer, explained.Error)
		case !reply.Found:
			printf(w, "balancer %s, version %d: no route has the address\n", explained.Balancer, reply.Version)
		default:
			printChoice(w, explained.Balancer, reply)
		}
	}
}

func printChoice(w io.Writer, balancer hickoryid.Endpoint, reply *hickorymessage.ChoiceReply) {
	route, rule := "-", "-"
	if reply.Route != nil {
		route = *reply.Route
	}
	if reply.Rule != nil {
		rule = *reply.Rule
	}
	printf(w, "balancer %s, version %d, route %s, target latency %s, rule %s\n", balancer, reply.Version, route, reply.TargetLatency.Value(), rule)
	if reply.Owner != nil {
		printf(w, "the flow is open at %s\n", *reply.Owner)
	}
	printf(w, "UPSTREAM\tZONE\tSLOTS\tLOAD\tFLOWS\tWORK MS\tWAIT MS\tSERVICE MS\tSPEED\tAGE MS\tCOMPLETION MS\tAGENT\tRESULT\n")
	for i := range reply.Candidates {
		printCandidate(w, &reply.Candidates[i])
	}
}

func printCandidate(w io.Writer, c *hickorymessage.ChoiceCandidate) {
	result := ""
	if c.PassedOver != nil {
		result = "passed over: " + *c.PassedOver
	}
	if c.Chosen {
		result = "chosen"
	}
	answer := "-"
	if c.AgentAnswer != nil {
		answer = *c.AgentAnswer
	}
	printf(w, "%s\t%s\t%d\t%.2f\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", c.Upstream, c.Zone, int(c.Slots), c.Load, c.OpenFlows,
		number(c.WorkMillis), number(c.WaitMillis), number(c.ServiceMillis), number(c.Speed), number(c.AgeMillis), number(c.CompletionMillis), answer, result)
}

// number formats a figure that may be unknown.
func number(value *float64) string {
	if value == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *value)
}
