package hickorysteering

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
)

const (
	// defaultLocalRoundTrip and defaultRemoteRoundTrip are the round trips to agents of
	// the own zone and of other ones that are assumed until a hello was answered.
	defaultLocalRoundTrip  = 200 * time.Microsecond
	defaultRemoteRoundTrip = 2 * time.Millisecond
	// maxRoundTrip bounds the round trips that count: a later answer is that of an agent
	// that was paused or has just started.
	maxRoundTrip = 100 * time.Millisecond
	// shorterDivisor and longerDivisor are the inverses of the weights of a shorter and of
	// a longer sample in a round trip. Longer ones are often those of a busy machine.
	shorterDivisor = 4
	longerDivisor  = 32
)

// zoneRoundTrips holds the round trips to the agents of each zone.
type zoneRoundTrips map[hickoryid.ZoneName]time.Duration

// get returns the round trip to a zone, or a default while it is not known.
func (z zoneRoundTrips) get(zone hickoryid.ZoneName, local bool) time.Duration {
	if roundTrip, ok := z[zone]; ok {
		return roundTrip
	}
	if local {
		return defaultLocalRoundTrip
	}
	return defaultRemoteRoundTrip
}

// learnRoundTrip takes the time until the first frame of an agent for the round trip to
// its zone: it is the answer to a hello, since the agent did not know the balancer before.
func (b *Balancer) learnRoundTrip(now hickorymodel.Instant, p *peer) {
	if p.lastFrameAt != 0 || p.helloAt == 0 || !p.listed {
		return
	}
	sample := now.Sub(p.helloAt)
	roundTrip, known := b.work.roundTrips[p.upstream.Zone]
	switch {
	case sample > maxRoundTrip:
		return
	case !known:
		roundTrip = sample
	case sample < roundTrip:
		roundTrip += (sample - roundTrip) / shorterDivisor
	default:
		roundTrip += (sample - roundTrip) / longerDivisor
	}
	b.work.roundTrips[p.upstream.Zone] = roundTrip
}
