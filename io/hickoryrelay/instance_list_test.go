package hickoryrelay_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

// BenchmarkInstanceList decodes the instance list of a fleet of the target size,
// which each process does after each read.
func BenchmarkInstanceList(b *testing.B) {
	var list hickoryplatform.Instances
	for i := range 16_500 {
		list.Instances = append(list.Instances, hickoryplatform.Instance{
			ID: hickoryid.InstanceID(fmt.Sprintf("agent-%05d", i)), Role: hickoryplatform.RoleAgent,
			Zone: "tt-north-a", Region: "tt-north", State: hickoryplatform.InstanceStateLive,
			DataEndpoint:    hickoryid.Endpoint(fmt.Sprintf("10.1.%d.%d:6081", i/250, i%250)),
			ControlEndpoint: hickoryid.Endpoint(fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250)),
		})
	}
	text, err := json.Marshal(list)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		var decoded hickoryplatform.Instances
		if err := json.Unmarshal(text, &decoded); err != nil {
			b.Fatal(err)
		}
	}
}
