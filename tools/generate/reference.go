package main

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/template"

	"github.com/pkg/errors"
)

// jsonSchema is the part of a JSON Schema that the reference pages show.
type jsonSchema struct {
	Ref         string                `json:"$ref"`
	Title       string                `json:"title"`
	Description string                `json:"description"`
	Type        string                `json:"type"`
	Pattern     string                `json:"pattern"`
	Enum        []string              `json:"enum"`
	Default     any                   `json:"default"`
	Minimum     *float64              `json:"minimum"`
	Maximum     *float64              `json:"maximum"`
	MinItems    *int                  `json:"minItems"`
	MaxItems    *int                  `json:"maxItems"`
	Required    []string              `json:"required"`
	Items       *jsonSchema           `json:"items"`
	Properties  map[string]jsonSchema `json:"properties"`
	Definitions map[string]jsonSchema `json:"definitions"`
}

// referenceRow is one row in the table of an object: one key.
type referenceRow struct {
	Key, Kind, Required, Limits, Default, Description string
}

// referenceObject is one part of a reference page: an object type with its keys.
type referenceObject struct {
	Name, Description string
	Rows              []referenceRow
}

// referencePage is the content of one reference page. Source is the path of the
// schema file.
type referencePage struct {
	Title, Source string
	Objects       []referenceObject
}

// generateReference writes a page with the keys of all objects of a schema file.
// IdPath is the schema file of the ids and units that the first file refers to.
func generateReference(title, schemaPath, idPath, docPath string) error {
	schema, ids := jsonSchema{}, jsonSchema{}
	if err := readSchema(schemaPath, &schema); err != nil {
		return err
	}
	if err := readSchema(idPath, &ids); err != nil {
		return err
	}
	page := referencePage{Title: title, Source: schemaPath}
	for _, name := range slices.Sorted(maps.Keys(schema.Definitions)) {
		definition := schema.Definitions[name]
		if definition.Type == "object" {
			page.Objects = append(page.Objects, referenceOf(name, &definition, &schema, &ids))
		}
	}
	var text bytes.Buffer
	if err := referenceTemplate.Execute(&text, page); err != nil {
		return errors.Wrapf(err, "execute template for %s", docPath)
	}
	return writeFile(docPath, text.Bytes())
}

// referenceOf returns the part of the page for one object type.
func referenceOf(name string, definition, schema, ids *jsonSchema) referenceObject {
	object := referenceObject{Name: name, Description: definition.Description}
	for _, key := range slices.Sorted(maps.Keys(definition.Properties)) {
		property := definition.Properties[key]
		required := "no"
		if slices.Contains(definition.Required, key) {
			required = "yes"
		}
		target := resolveRef(&property, schema, ids)
		object.Rows = append(object.Rows, referenceRow{
			Key:         key,
			Kind:        kindOf(&property, target),
			Required:    required,
			Limits:      limitsOf(&property, target),
			Default:     defaultOf(&property),
			Description: strings.ReplaceAll(firstNonEmpty(property.Description, target.Description), "|", "\\|"),
		})
	}
	return object
}

// resolveRef returns the definition that a property refers to in its own file or in
// the file of ids. It returns the property itself if it has no reference, or one
// into another file.
func resolveRef(property, schema, ids *jsonSchema) *jsonSchema {
	if property.Ref == "" {
		return property
	}
	name := property.Ref[strings.LastIndex(property.Ref, "/")+1:]
	if target, ok := schema.Definitions[name]; ok && strings.HasPrefix(property.Ref, "#") {
		return &target
	}
	if target, ok := ids.Definitions[name]; ok {
		return &target
	}
	return property
}

// kindOf returns the text of the type column.
func kindOf(property, target *jsonSchema) string {
	switch {
	case property.Items != nil && property.Items.Ref != "":
		return "list of " + refName(property.Items.Ref)
	case property.Ref != "":
		return refName(property.Ref)
	default:
		return target.Type
	}
}

// refName returns the name of the definition that a reference names.
func refName(ref string) string {
	return ref[strings.LastIndex(ref, "/")+1:]
}

// limitsOf returns the text of the limits column. The limits of a list are in the
// property, all others in the definition that it refers to.
func limitsOf(property, target *jsonSchema) string {
	var limits []string
	if len(target.Enum) > 0 {
		limits = append(limits, strings.Join(target.Enum, " or "))
	}
	if target.Minimum != nil {
		limits = append(limits, fmt.Sprintf("at least %.0f", *target.Minimum))
	}
	if target.Maximum != nil {
		limits = append(limits, fmt.Sprintf("at most %.0f", *target.Maximum))
	}
	if property.MinItems != nil {
		limits = append(limits, fmt.Sprintf("at least %d items", *property.MinItems))
	}
	if property.MaxItems != nil {
		limits = append(limits, fmt.Sprintf("at most %d items", *property.MaxItems))
	}
	if target.Pattern != "" {
		limits = append(limits, "`"+strings.ReplaceAll(target.Pattern, "|", "\\|")+"`")
	}
	return strings.Join(limits, ", ")
}

func defaultOf(property *jsonSchema) string {
	if property.Default == nil {
		return ""
	}
	return fmt.Sprint(property.Default)
}

func firstNonEmpty(texts ...string) string {
	for _, text := range texts {
		if text != "" {
			return text
		}
	}
	return ""
}

var referenceTemplate = template.Must(template.New("reference").Parse(`# {{.Title}}

Generated from {{.Source}} by ` + "`make generate`" + `. A key that is not listed here is an error.
{{range .Objects}}
## {{.Name}}

{{.Description}}

| key | type | required | limits | default | meaning |
|---|---|---|---|---|---|
{{- range .Rows}}
| {{.Key}} | {{.Kind}} | {{.Required}} | {{.Limits}} | {{.Default}} | {{.Description}} |
{{- end}}
{{end}}`))
