package hickoryyaml_test

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"hickoryworks/io/hickoryyaml"
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickorysettings"
)

// TestDecodeReportsEveryProblem guards against an error that contains only the first
// fault of a text, and against misspelt keys that are ignored.
func TestDecodeReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name    string
		content string
		want    []string
	}{
		{
			name:    "unknown key",
			content: "team: pagebound\nservicez: []\n",
			want:    []string{"line 2: servicez: unknown key"},
		},
		{
			name:    "syntax",
			content: "team: [\n",
			want:    []string{"line 1: did not find expected node content"},
		},
		{
			name:    "duplicate key",
			content: "team: a\nteam: b\n",
			want:    []string{`line 2: mapping key "team" already defined at line 1`},
		},
		{
			name: "two faults",
			content: `team: Pagebound
zones:
- name: tt-north-a
  region: tt-north
  state: closed
`,
			want: []string{
				"line 1: team: 'Pagebound' does not match pattern '^[a-z][a-z0-9-]{0,62}$'",
				"line 5: zones[0].state: value must be one of 'inService', 'outOfService'",
			},
		},
		{
			name:    "missing key",
			content: "services: []\n",
			want:    []string{"line 1: missing property 'team'"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var section hickorydocument.Section
			var invalid *hickoryyaml.InvalidError
			err := hickoryyaml.Decode([]byte(test.content), &section)
			is.True(errors.As(err, &invalid)) // the error lists problems
			var got []string
			for _, problem := range invalid.Problems {
				got = append(got, problem.String())
			}
			is.Equal(got, test.want)
		})
	}
}

// TestDecodeFillsDefaults guards against keys that are left out and do not get the
// default of the schema.
func TestDecodeFillsDefaults(t *testing.T) {
	is := is.New(t)
	var settings hickorysettings.Agent
	is.NoErr(hickoryyaml.Decode([]byte(`
instance: agent-1
zone: tt-north-a
region: tt-north
service: clubroom
upstream: clubroom-1
dataEndpoint: 127.0.0.1:7001
controlEndpoint: 127.0.0.1:7002
deliveryEndpoint: 127.0.0.1:7003
platform: {configurationURL: "http://127.0.0.1:1/v1/values", instancesURL: "http://127.0.0.1:1/v1/instances"}
`), &settings))
	is.Equal(settings.Delivery, hickorysettings.DeliveryGeneve)
}

// TestLine guards against a wrong line in the report that a team gets about a rejected
// section.
func TestLine(t *testing.T) {
	text := []byte("team: pagebound\nservices:\n- name: a\n  number: 1\n- name: b\n  number: 1\n")
	cases := []struct {
		path string
		line int
	}{
		{"team", 1}, {"services[1].number", 6}, {"services[1].rampTime", 5}, {"services[7]", 2}, {"", 1},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			is.Equal(hickoryyaml.Line(text, c.path), c.line)
		})
	}
}
