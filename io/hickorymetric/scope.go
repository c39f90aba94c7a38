package hickorymetric

import (
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/schema/hickoryid"
)

// OpeningTimeBuckets are the buckets of the time that an upstream takes to answer a
// first packet: 1 ms to about 16 s.
var OpeningTimeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// ServiceScope returns the scope of one team's service.
func ServiceScope(scope tally.Scope, team hickoryid.TeamName, service hickoryid.ServiceName) tally.Scope {
	return scope.Tagged(map[string]string{"team": string(team), "service": string(service)})
}
