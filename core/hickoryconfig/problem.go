package hickoryconfig

import (
	"fmt"
	"strings"
)

// Problem is one reason why a section is rejected.
type Problem struct {
	// Path names the key, as in services[1].upstreams[0].zone; it is empty when
	// the section as a whole can't be read.
	Path string
	// Line is the line in the published text; 0 when it is not known.
	Line   int
	Reason string
}

// String formats the problem for a log line.
func (p Problem) String() string {
	var text strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", p.Line)
	}
	if p.Path != "" {
		text.WriteString(p.Path + ": ")
	}
	text.WriteString(p.Reason)
	return text.String()
}

// problems collects the problems of one section.
type problems struct {
	found []Problem
}

func (p *problems) add(path, format string, arguments ...any) {
	p.found = append(p.found, Problem{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}
