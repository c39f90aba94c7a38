package hickorystrict_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"hickoryworks/io/hickorystrict"
	"hickoryworks/schema/hickorysettings"
)

const valid = `fabric: datagram
instance: balancer-1
zone: a
dataEndpoint: 127.0.0.1:7000
agentEndpoint: 127.0.0.1:7001
controlEndpoint: 127.0.0.1:7002
readyEndpoint: 127.0.0.1:7003
seeds: ["127.0.0.1:7002"]
store: {endpoint: "127.0.0.1:7004"}
`

// TestDecode guards against settings that are accepted although a key is unknown, a
// key is missing or a value is invalid.
func TestDecode(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"valid", valid, ""},
		{"unknown key", valid + "zoen: b\n", "line 10: field zoen not found"},
		{"unknown inner key", strings.Replace(valid, "{endpoint:", "{endpint:", 1), "field endpint not found"},
		{"missing key", strings.Replace(valid, "zone: a\n", "", 1), "field zone in FabricBalancer: required"},
		{"wrong type", strings.Replace(valid, "zone: a", "zone: [a]", 1), "line 3"},
		{"bad endpoint", strings.Replace(valid, "127.0.0.1:7003", "here", 1), "pattern match"},
		{"unknown fabric", strings.Replace(valid, "datagram", "carrier", 1), "invalid value"},
		{"no YAML", "a: b: c", "mapping values"},
		{"empty", "", "EOF"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var settings hickorysettings.FabricBalancer
			err := hickorystrict.Decode([]byte(c.text), &settings)
			if c.want == "" {
				is.NoErr(err)
				is.Equal(string(settings.DrainTimeout), "4s") // a default of the schema
				return
			}
			t.Log(err)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
