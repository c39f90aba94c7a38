package hickoryid_test

import (
	"encoding/json"
	"testing"

	"hickoryworks/schema/hickoryid"
)

// BenchmarkEndpoint guards against compiling the pattern again for each decoded
// value, which took half of the processor time of a process under load.
func BenchmarkEndpoint(b *testing.B) {
	var endpoint hickoryid.Endpoint
	for b.Loop() {
		if err := json.Unmarshal([]byte(`"127.0.0.1:7000"`), &endpoint); err != nil {
			b.Fatal(err)
		}
	}
}
