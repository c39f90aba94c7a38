package hickorydemo

import "time"

// Options say how large a run is and when things happen in it.
type Options struct {
	Profile   Profile
	Seed      uint64
	Balancers int
	// Flows is the number of long-lived flows over all services.
	Flows int
	// Interval is the mean time between an answer and the next request of a flow.
	Interval time.Duration
	// ShortFlows is the number of short flows opened each second.
	ShortFlows int
	// RampTime is the time from cold to warm of the upstream that starts cold.
	RampTime time.Duration
	// MaxAttempts is the number of sends after which a caller takes a flow for silent.
	MaxAttempts int
	// ConfigurationLimit is the limit of guarantee P10.
	ConfigurationLimit time.Duration
	// SettleTime bounds the wait for the last answers.
	SettleTime time.Duration
	Schedule   Schedule
}

// Schedule holds the times of the steps, counted from the start of the run.
type Schedule struct {
	// Opening is the time over which the long-lived flows are opened.
	Opening time.Duration
	// Each further step starts at its time, or when the one before has ended.
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

// DefaultOptions are those of the demo command.
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
		// Design page, P10.
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
	// extraShare is the part of the long-lived flows that opens during the cold start.
	extraFlowsDivisor = 5
	// shortRequests is the number of requests of a short flow.
	shortRequests = 2
	// fabricLag is the time after which the fabric stops handing packets to a
	// balancer that is gone.
	fabricLag = 500 * time.Millisecond
	// listLag is how old the platform's list of instances is.
	listLag = 500 * time.Millisecond
	// workTime is the time a warm upstream needs for one request.
	workTime = 2 * time.Millisecond
	// zoneLimit is the limit of guarantee P4.
	zoneLimit = 3 * time.Second
	// standardTries lets a caller give up after about 9 s, and standardSettleTime
	// is longer, so that nothing is left undecided at the end.
	defaultMaxAttempts = 7
	defaultSettleTime  = 10 * time.Second
	// lookInterval is the time between two looks at the flows.
	pollInterval = 100 * time.Millisecond
)
