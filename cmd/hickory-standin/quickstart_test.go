package main_test

import (
	"bytes"
	"os/exec"
	"strings"
	"testing"

	// The script builds these packages. Importing them makes go test run the test again,
	// instead of using a cached result, when they change.
	_ "hickoryworks/io/hickoryagent"
	_ "hickoryworks/io/hickorybalancer"
	_ "hickoryworks/io/hickorystandin"
)

// TestQuickstart guards against example settings with which the programs do not work
// together as processes. The script fails unless all flows open.
func TestQuickstart(t *testing.T) {
	command := exec.CommandContext(t.Context(), "../../scripts/quickstart.sh")
	var out, errorOutput bytes.Buffer
	command.Stdout = &out
	command.Stderr = &errorOutput
	if err := command.Run(); err != nil {
		t.Fatalf("quickstart: %v\n%s%s", err, out.String(), errorOutput.String())
	}
	if !strings.Contains(out.String(), "60 flows are open") || !strings.Contains(out.String(), `"broken":0`) {
		t.Fatalf("not all flows are open and unbroken:\n%s", out.String())
	}
	t.Log(out.String())
}
