package hickorydemo

import "time"

// Options holds the size of a run and the times of its steps.
type Options struct {
	Profile   Profile
	Seed      uint64
	Balancers int
	// Flows is the number of long-lived flows over all services.
	Flows int
	// Interval is the mean time between a reply and the next request of a flow.
	Interval time.Duration
	// ShortFlows is the number of short flows opened each second.
	ShortFlows int
	// RampTime is the time from cold to warm of the upstream that starts cold.
	RampTime time.Duration
	// MaxAttempts is the number of sends without a reply after which a flow counts
	// as failed.
	MaxAttempts int
	// ConfigurationLimit is the limit of guarantee P10: the time until a
	// configuration change is in force at all balancers and agents.
	ConfigurationLimit time.Duration
	// SettleTime bounds the wait for the last replies.
	SettleTime time.Duration
	Schedule   Schedule
}

// Schedule holds the times of the steps, measured from the start of the run.
type Schedule struct {
	// Opening is the time over which the long-lived flows are opened.
	Opening time.Duration
	// Each further step starts at its time, or later if the one before still runs.
	StopBalancer  time.Duration
	KillBalancer  time.Duration
	AddBalancer   time.Duration
	DrainUpstream time.Duration
	StartCold     time.Duration
	Configure     time.Duration
	ZoneOut       time.Duration
	ZoneBack      time.Duration
	End           time.Duration
}

// DefaultOptions returns the options of the demo command.
func DefaultOptions(profile Profile, seed uint64) Options {
	return Options{
		Profile:     profile,
		Seed:        seed,
		Balancers:   4,
		Flows:       2200,
		Interval:    time.Second,
		ShortFlows:  60,
		RampTime:    8 * time.Second,
		MaxAttempts: defaultMaxAttempts,
		// The limit of guarantee P10 on the design page.
		ConfigurationLimit: 11 * time.Second,
		SettleTime:         defaultSettleTime,
		Schedule: Schedule{
			Opening:       6 * time.Second,
			StopBalancer:  10 * time.Second,
			KillBalancer:  13 * time.Second,
			AddBalancer:   15 * time.Second,
			DrainUpstream: 17 * time.Second,
			StartCold:     21 * time.Second,
			Configure:     29 * time.Second,
			ZoneOut:       32 * time.Second,
			ZoneBack:      40 * time.Second,
			End:           45 * time.Second,
		},
	}
}

const (
	// extraFlowsDivisor sets the number of additional long-lived flows that open
	// during the cold start: one for every 5 of the others.
	extraFlowsDivisor = 5
	// shortRequests is the number of requests of a short flow.
	shortRequests = 2
	// fabricLag is the time after which the fabric stops sending packets to a
	// balancer that leaves or is dead.
	fabricLag = 500 * time.Millisecond
	// listLag is the age of the list of instances that the platform serves.
	listLag = 500 * time.Millisecond
	// workTime is the time that a warm upstream needs for one request.
	workTime = 2 * time.Millisecond
	// zoneLimit is the limit of guarantee P4: the time after which no packet may
	// arrive in a zone that is out of service.
	zoneLimit = 3 * time.Second
	// defaultMaxAttempts makes a flow without a reply fail after about 9 s.
	// defaultSettleTime is longer, so that each flow has its final state at the end.
	defaultMaxAttempts = 7
	defaultSettleTime  = 10 * time.Second
	// pollInterval is the time between two reads of the state of the flows.
	pollInterval = 100 * time.Millisecond
)
