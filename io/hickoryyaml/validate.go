package hickoryyaml

import (
	"encoding/json"
	"reflect"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"gopkg.in/yaml.v3"

	"hickoryworks/schema/hickoryschema"
)

// baseURL is the part before the file name in the $id of each schema file.
const baseURL = "https://hickoryworks.example/schema/"

// schemaCache compiles each schema definition when it is first used and stores it by the
// name that definitionName returns.
type schemaCache struct {
	mutex    sync.Mutex
	compiler *jsonschema.Compiler
	byName   map[string]*jsonschema.Schema
}

// compiledSchemas is the cache of the process.
var compiledSchemas = schemaCache{byName: map[string]*jsonschema.Schema{}}

// definitionName returns the file and the path of the schema definition that the type of
// target was generated from, as in settings.schema.json#/definitions/Agent.
func definitionName(target any) (string, error) {
	t := reflect.TypeOf(target)
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	packageName := t.PkgPath()[strings.LastIndex(t.PkgPath(), "/")+1:]
	file := strings.TrimPrefix(packageName, "hickory") + ".schema.json"
	if _, ok := hickoryschema.Sources[file]; !ok {
		return "", errors.Errorf("type %s has no schema", t)
	}
	return file + "#/definitions/" + t.Name(), nil
}

// get returns the compiled schema of a definition.
func (s *schemaCache) get(name string) (*jsonschema.Schema, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if schema, ok := s.byName[name]; ok {
		return schema, nil
	}
	if s.compiler == nil {
		s.compiler = newCompiler()
	}
	schema, err := s.compiler.Compile(baseURL + name)
	if err != nil {
		return nil, errors.Wrapf(err, "compile schema %s", name)
	}
	s.byName[name] = schema
	return schema, nil
}

// sourceLoader parses a schema file when a definition first refers to it. Parsing all
// files would take most of the time in which a process starts.
type sourceLoader struct{}

// Load returns the parsed schema file with a URL.
func (sourceLoader) Load(url string) (any, error) {
	source, ok := hickoryschema.Sources[strings.TrimPrefix(url, baseURL)]
	if !ok {
		return nil, errors.Errorf("no schema %s", url)
	}
	document, err := jsonschema.UnmarshalJSON(strings.NewReader(source))
	return document, errors.Wrapf(err, "parse schema %s", url)
}

func newCompiler() *jsonschema.Compiler {
	compiler := jsonschema.NewCompiler()
	compiler.UseLoader(sourceLoader{})
	return compiler
}

// validate checks a parsed text against the schema of target's type and returns its
// problems. tree is the text as plain Go values, root gives the lines.
func validate(target json.Unmarshaler, root *yaml.Node, tree any) ([]Problem, error) {
	name, err := definitionName(target)
	if err != nil {
		return nil, err
	}
	schema, err := compiledSchemas.get(name)
	if err != nil {
		return nil, err
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(tree); err != nil && !errors.As(err, &invalid) {
		return nil, errors.Wrapf(err, "check against schema %s", name)
	}
	if invalid == nil {
		return nil, nil
	}
	problems := appendProblems(nil, root, invalid)
	sortProblems(problems)
	return problems, nil
}

// appendProblems appends a problem for each innermost cause of a validation error.
func appendProblems(problems []Problem, root *yaml.Node, invalid *jsonschema.ValidationError) []Problem {
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			problems = appendProblems(problems, root, cause)
		}
		return problems
	}
	if extra, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
		return appendUnknownKeys(problems, root, invalid.InstanceLocation, extra.Properties)
	}
	node := findNode(root, invalid.InstanceLocation)
	return append(problems, Problem{
		Path:   joinPath(invalid.InstanceLocation),
		Line:   node.Line,
		Column: node.Column,
		Reason: invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English)),
	})
}

// appendUnknownKeys appends a problem for each key that the schema does not define.
func appendUnknownKeys(problems []Problem, root *yaml.Node, location, keys []string) []Problem {
	parent := findNode(root, location)
	for _, key := range keys {
		keyNode := parent
		if node, _ := findKey(parent, key); node != nil {
			keyNode = node
		}
		problems = append(problems, Problem{
			Path:   joinPath(append(append([]string(nil), location...), key)),
			Line:   keyNode.Line,
			Column: keyNode.Column,
			Reason: "unknown key",
		})
	}
	return problems
}
