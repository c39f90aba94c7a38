package hickoryyaml

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Problem is one fault of a text.
type Problem struct {
	// Path names the key of the value, as in services[0].upstreams[2].zone.
	Path string `json:"path"`
	// Line and Column start at 1. They are 0 when the position is not known.
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Reason string `json:"reason"`
}

// String formats the problem as in "line 3: services[0].slots: minimum: got 0, want 1".
func (p Problem) String() string {
	if p.Path == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Reason)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Path, p.Reason)
}

// InvalidError holds all the faults of a text, in the order of their lines.
type InvalidError struct {
	Problems []Problem
}

// Error lists the problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// sortProblems sorts problems by line, then by path.
func sortProblems(problems []Problem) {
	slices.SortStableFunc(problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return strings.Compare(a.Path, b.Path)
	})
}

// yamlErrorPattern matches an error of the YAML library that starts with a line number.
var yamlErrorPattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// syntaxError converts an error of the YAML library to an *InvalidError.
func syntaxError(err error) error {
	texts := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		texts = typeError.Errors
	}
	invalid := &InvalidError{}
	for _, text := range texts {
		problem := Problem{Reason: strings.TrimPrefix(text, "yaml: ")}
		if match := yamlErrorPattern.FindStringSubmatch(text); match != nil {
			problem.Line, _ = strconv.Atoi(match[1])
			problem.Reason = match[2]
		}
		invalid.Problems = append(invalid.Problems, problem)
	}
	return invalid
}
