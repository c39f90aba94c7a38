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

// baseURL is the folder of the $id of each schema file.
const baseURL = "https://hickoryworks.example/schema/"

// schemas compiles each definition once.
type schemas struct {
	mutex    sync.Mutex
	compiler *jsonschema.Compiler
	byName   map[string]*jsonschema.Schema
}

// compiled holds the schemas that have been used so far.
var compiled = schemas{byName: map[string]*jsonschema.Schema{}}

// definitionName returns the schema definition that a type was generated from.
func definitionName(target any) (string, error) {
	t := reflect.TypeOf(target)
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	folder := t.PkgPath()[strings.LastIndex(t.PkgPath(), "/")+1:]
	file := strings.TrimPrefix(folder, "hickory") + ".schema.json"
	if _, ok := hickoryschema.Sources[file]; !ok {
		return "", errors.Errorf("type %s has no schema", t)
	}
	return file + "#/definitions/" + t.Name(), nil
}

func (s *schemas) get(name string) (*jsonschema.Schema, error) {
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

// sourceLoader parses the schema files that a definition refers to. Parsing all
// of them takes most of the time of a start.
type sourceLoader struct{}

// Load returns the schema file of a URL.
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

// validate returns the problems of a text that has been parsed.
func validate(target json.Unmarshaler, root *yaml.Node, tree any) ([]Problem, error) {
	name, err := definitionName(target)
	if err != nil {
		return nil, err
	}
	schema, err := compiled.get(name)
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
	problems := collect(nil, root, invalid)
	sortProblems(problems)
	return problems, nil
}

// collect adds the innermost causes of a validation error.
func collect(problems []Problem, root *yaml.Node, invalid *jsonschema.ValidationError) []Problem {
	if len(invalid.Causes) > 0 {
		for _, cause := range invalid.Causes {
			problems = collect(problems, root, cause)
		}
		return problems
	}
	if extra, ok := invalid.ErrorKind.(*kind.AdditionalProperties); ok {
		return collectUnknown(problems, root, invalid.InstanceLocation, extra.Properties)
	}
	node := findNode(root, invalid.InstanceLocation)
	return append(problems, Problem{
		Path:   joinPath(invalid.InstanceLocation),
		Line:   node.Line,
		Column: node.Column,
		Reason: invalid.ErrorKind.LocalizedString(message.NewPrinter(language.English)),
	})
}

// collectUnknown adds a problem for each key that the schema does not know.
func collectUnknown(problems []Problem, root *yaml.Node, location, keys []string) []Problem {
	parent := findNode(root, location)
	for _, key := range keys {
		place := parent
		if node, _ := findKey(parent, key); node != nil {
			place = node
		}
		problems = append(problems, Problem{
			Path:   joinPath(append(append([]string(nil), location...), key)),
			Line:   place.Line,
			Column: place.Column,
			Reason: "unknown key",
		})
	}
	return problems
}
