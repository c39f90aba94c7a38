package hickoryid

import (
	"regexp"
	"sync"
)

// patterns maps the text of each pattern of the generated code to its compiled
// form. It has at most as many entries as the schema has patterns.
var patterns sync.Map

// matchPattern reports whether a text matches a pattern of the schema. It replaces
// regexp.MatchString in the generated code, which compiles the pattern for each
// value; that took half of the processor time of agents.
func matchPattern(pattern, text string) (bool, error) {
	if compiled, ok := patterns.Load(pattern); ok {
		if expression, ok := compiled.(*regexp.Regexp); ok {
			return expression.MatchString(text), nil
		}
	}
	expression, err := regexp.Compile(pattern)
	if err != nil {
		return false, err
	}
	patterns.Store(pattern, expression)
	return expression.MatchString(text), nil
}
