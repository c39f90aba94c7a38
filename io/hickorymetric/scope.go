package hickorymetric

import (
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/schema/hickoryid"
)

// OpeningTimeBuckets are the histogram buckets for the time from the first packet of a
// flow to the upstream's answer: 1 ms to about 16 s.
var OpeningTimeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// ServiceScope returns a scope whose metrics have the team and the service as labels.
func ServiceScope(scope tally.Scope, team hickoryid.TeamName, service hickoryid.ServiceName) tally.Scope {
	return scope.Tagged(map[string]string{"team": string(team), "service": string(service)})
}
