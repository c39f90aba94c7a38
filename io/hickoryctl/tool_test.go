package hickoryctl_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"hickoryworks/io/hickoryctl"
	"hickoryworks/io/hickoryprogram"
)

// TestMain makes hickoryctl a command of the test scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"hickoryctl": func() { hickoryprogram.Main(hickoryctl.New(os.Stdout).Command()) },
	})
}

// TestScripts runs the scripts of testdata, which check the output and the exit codes
// of the commands that read files.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../docs/examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return nil
		},
	})
}
