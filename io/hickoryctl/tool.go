// Package hickoryctl implements the command-line tool of the operators. Its commands
// change nothing: operators change the system by editing the document. The document
// consists of sections, one for each team, that list the team's services and upstreams.
package hickoryctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"hickoryworks/io/hickoryprogram"
	"hickoryworks/io/hickoryrpc"
	"hickoryworks/io/hickorywatch"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

const (
	// callTimeout is the maximum duration of a call of one instance.
	callTimeout = 2 * time.Second
	// parallelCalls is the maximum number of calls in progress.
	parallelCalls = 64
)

// Names of flags that several commands have.
const (
	outputFlag    = "output"
	instancesFlag = "instances-url"
	balancersFlag = "balancer"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Tool implements the commands. They write to out and call instances over rpc.
type Tool struct {
	out io.Writer
	rpc *hickoryrpc.Client
	now func() time.Time
}

// New returns a tool that writes to out.
func New(out io.Writer) *Tool {
	return &Tool{out: out, rpc: hickoryrpc.NewClient(), now: time.Now}
}

// Command returns the tool's command line.
func (t *Tool) Command() *cli.Command {
	return &cli.Command{
		Name:                  "hickoryctl",
		Usage:                 "read the state of hickoryworks and check its document",
		EnableShellCompletion: true,
		ExitErrHandler:        hickoryprogram.NoExitErrHandler,
		Writer:                t.out,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    outputFlag,
				Aliases: []string{"o"},
				Usage:   "write a `FORMAT`: table or json",
				Value:   outputTable,
			},
		},
		Commands: []*cli.Command{
			t.validateCommand(),
			t.diffCommand(),
			t.statusCommand(),
			t.explainCommand(),
			t.watchCommand(),
			t.reportCommand(),
			t.schemaCommand(),
		},
	}
}

func instancesURLFlag() cli.Flag {
	flag := optionalInstancesURLFlag()
	flag.Required = true
	return flag
}

func optionalInstancesURLFlag() *cli.StringFlag {
	return &cli.StringFlag{
		Name:    instancesFlag,
		Usage:   "read the list of instances at `URL`",
		Sources: cli.EnvVars("HICKORY_INSTANCES_URL"),
	}
}

// instances reads the instance list of the platform.
func (t *Tool) instances(ctx context.Context, command *cli.Command) ([]hickoryplatform.Instance, error) {
	client := hickorywatch.NewClient("", hickoryid.URL(command.String(instancesFlag)))
	defer client.Close()
	list, err := client.Instances(ctx)
	return list.Instances, err
}

// write prints a value in the format that the output flag selects: as JSON, or as a
// table that the given function writes with tabs between its columns.
func (t *Tool) write(command *cli.Command, value any, table func(w io.Writer)) error {
	switch format := command.String(outputFlag); format {
	case outputJSON:
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "write JSON")
	case outputTable:
		const minWidth, tabWidth, padding = 0, 8, 2
		w := tabwriter.NewWriter(t.out, minWidth, tabWidth, padding, ' ', 0)
		table(w)
		return errors.Wrap(w.Flush(), "write table")
	default:
		return errors.Errorf("unknown output format %q", format)
	}
}

func printf(w io.Writer, format string, arguments ...any) {
	_, _ = fmt.Fprintf(w, format, arguments...)
}
