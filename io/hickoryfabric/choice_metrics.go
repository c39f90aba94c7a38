package hickoryfabric

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"hickoryworks/core/hickorychoice"
	"hickoryworks/core/hickorydirectory"
	"hickoryworks/core/hickorymodel"
	"hickoryworks/core/hickorysteering"
	"hickoryworks/io/hickorylog"
	"hickoryworks/schema/hickoryid"
)

// speedInterval is the time between two updates of the gauges of speeds.
const speedInterval = 5 * time.Second

// speedGauges has a gauge for the speed of each upstream that choices by work have
// considered. It is not safe for concurrent use.
type speedGauges struct {
	scope     tally.Scope
	gauges    map[hickoryid.UpstreamID]tally.Gauge
	updatedAt hickorymodel.Instant
}

func newSpeedGauges(scope tally.Scope) *speedGauges {
	return &speedGauges{scope: scope, gauges: map[hickoryid.UpstreamID]tally.Gauge{}}
}

func (g *speedGauges) update(now hickorymodel.Instant, steering *hickorysteering.Balancer) {
	if now.Sub(g.updatedAt) < speedInterval {
		return
	}
	g.updatedAt = now
	steering.Speeds(now, func(upstream *hickorydirectory.Upstream, speed float64) {
		gauge, ok := g.gauges[upstream.ID]
		if !ok {
			gauge = g.scope.Tagged(map[string]string{"upstream": string(upstream.ID)}).Gauge("upstreamSpeed")
			g.gauges[upstream.ID] = gauge
		}
		gauge.Update(speed)
	})
}

// countChoice counts a choice by work with its rule, and whether another upstream had a
// lower load by count.
func (r *recorder) countChoice(choice *hickorysteering.WorkChoice) {
	if choice.Rule == hickorychoice.RuleNone {
		return
	}
	key := choiceKey{rule: choice.Rule, away: choice.Away}
	counter, ok := r.choices[key]
	if !ok {
		counter = r.scope.Tagged(map[string]string{"rule": choice.Rule.String(), "away": strconv.FormatBool(choice.Away)}).Counter("choices")
		r.choices[key] = counter
	}
	counter.Inc(1)
}

type choiceKey struct {
	rule hickorychoice.Rule
	away bool
}

// addChoice adds the inputs of a choice by work. Times are in milliseconds.
func addChoice(fields hickorylog.Fields, choice *hickorysteering.WorkChoice) {
	if choice.Rule == hickorychoice.RuleNone {
		return
	}
	fields["rule"] = choice.Rule.String()
	fields["completionMs"] = milliseconds(choice.Completion)
	fields["knownAgeMs"] = milliseconds(choice.Age)
	fields["away"] = choice.Away
	fields["saturated"] = choice.Saturated
	if choice.MaxWait != hickorychoice.NoLimit {
		fields["maxWaitMs"] = milliseconds(choice.MaxWait)
	}
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}
