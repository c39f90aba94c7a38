package hickoryload_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	// The test builds programs from these packages. The imports make go test run it
	// again, instead of using the cached result, when one of them changes.
	_ "hickoryworks/io/hickoryagent"
	_ "hickoryworks/io/hickorybalancer"
	"hickoryworks/io/hickoryload"
	_ "hickoryworks/io/hickorystandin"
	"hickoryworks/schema/hickoryexperiment"
)

// TestRunMeasuresBothRoles guards against a failure of the whole tool with real
// processes: settings, process starts, faults, samples from /proc, result and
// plots. No flow may break, and the processes of both roles must be measured.
func TestRunMeasuresBothRoles(t *testing.T) {
	is := is.New(t)
	binaries := t.TempDir()
	build := exec.CommandContext(t.Context(), "go", "build", "-o", binaries+"/", "hickoryworks/cmd/hickory-balancer", "hickoryworks/cmd/hickory-agent", "hickoryworks/cmd/hickory-standin")
	output, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	experiment := &hickoryexperiment.Experiment{
		Seed:        1,
		MeasureTime: "2s",
		Sizes:       []hickoryexperiment.Size{{Name: "tiny", Balancers: 2, Agents: 2, Flows: 40, Interval: "100ms", ShortFlows: 5}},
		Faults: []hickoryexperiment.Fault{
			{At: "200ms", Action: hickoryexperiment.FaultActionPlatformDown},
			{At: "400ms", Action: hickoryexperiment.FaultActionPause, Process: "balancer-0"},
			{At: "900ms", Action: hickoryexperiment.FaultActionResume, Process: "balancer-0"},
			{At: "1s", Action: hickoryexperiment.FaultActionPlatformUp},
		},
	}
	t.Logf("seed %d", experiment.Seed)
	result, err := hickoryload.Run(t.Context(), experiment, []hickoryload.Build{{Name: "a", Binaries: binaries}, {Name: "b", Binaries: binaries}}, func(line string) { t.Log(line) })
	is.NoErr(err)
	is.Equal(len(result.Runs), 2)
	for _, run := range result.Runs {
		is.Equal(run.Broken, 0)
		is.True(run.Packets > 0)
		is.Equal(run.Balancer.Processes, 2)
		is.Equal(run.Agent.Processes, 2)
		is.True(run.Agent.ResidentBytes > 0)
	}
	var table bytes.Buffer
	is.NoErr(hickoryload.WriteTable(&table, &result))
	is.True(strings.Contains(table.String(), "tiny"))
	folder := t.TempDir()
	is.NoErr(hickoryload.WritePlots(folder, &result))
	_, err = os.Stat(filepath.Join(folder, "latency.svg"))
	is.NoErr(err)
}

// TestSlopesNeedAllSizes guards against slopes of a build that was not measured at
// all sizes, which would be computed from runs that can't be compared.
func TestSlopesNeedAllSizes(t *testing.T) {
	is := is.New(t)
	var text bytes.Buffer
	is.NoErr(hickoryload.WriteSlopes(&text, &hickoryexperiment.Result{Runs: []hickoryexperiment.Run{{Build: "a"}}}))
	is.Equal(text.String(), "")
}
