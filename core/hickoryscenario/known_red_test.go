package hickoryscenario

import (
	"flag"
	"os"
	"strings"
	"testing"
)

var runKnownRed = flag.Bool("knownRed", false, "run the tests that KNOWN-RED.txt lists")

// skipKnownRed skips a test that KNOWN-RED.txt lists, with a message, unless the flag
// knownRed is set.
func skipKnownRed(t *testing.T) {
	content, err := os.ReadFile("../../KNOWN-RED.txt")
	if os.IsNotExist(err) || *runKnownRed {
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(content), "\n") {
		if line == "test: "+t.Name() {
			t.Skipf("known red: %s, see KNOWN-RED.txt", t.Name())
		}
	}
}
