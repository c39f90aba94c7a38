package hickoryscenario

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/testscript"
)

var scriptSeed = flag.Uint64("scriptSeed", 1, "seed of the scripts in testdata")

// TestScenarios runs the scripts in testdata. Each guards against the failure
// that its first lines state.
func TestScenarios(t *testing.T) {
	t.Logf("seed %d", *scriptSeed)
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: scriptCommands(),
		Setup: func(env *testscript.Env) error {
			env.Values[simulationKey{}] = newSimulation(*scriptSeed)
			return nil
		},
	})
}

// TestScriptsCheckHistory guards against a script without the check command, or one
// that stops before it.
func TestScriptsCheckHistory(t *testing.T) {
	is := is.New(t)
	contents := scripts(t)
	is.True(len(contents) >= 25)
	for _, content := range contents {
		is.True(strings.Contains(content, "\ncheck"))                                         // contains check
		is.True(!strings.Contains(content, "\nstop") && !strings.Contains(content, "\nskip")) // runs to its end
	}
}

// scripts returns the contents of the scripts in testdata.
func scripts(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil {
		t.Fatal(err)
	}
	var contents []string
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		contents = append(contents, string(content))
	}
	return contents
}
