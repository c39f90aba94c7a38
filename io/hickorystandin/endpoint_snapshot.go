package hickorystandin

import (
	"net/http"
	"time"

	"hickoryworks/schema/hickorypayload"
)

// endpointSnapshot holds the responses of the health and load endpoints, guarded
// by the upstream's mutex.
type endpointSnapshot struct {
	// lag is the age at which the captured responses are replaced.
	lag        time.Duration
	capturedAt time.Time
	health     hickorypayload.Health
	load       hickorypayload.Load
	// override, if set, replaces all responses.
	override *EndpointOverride
}

// EndpointOverride holds the false responses of the health and load endpoints.
type EndpointOverride struct {
	Health hickorypayload.Health
	Load   hickorypayload.Load
}

// SetEndpointLag makes the health and load endpoints respond with a state that
// may be as old as lag.
func (u *Upstream) SetEndpointLag(lag time.Duration) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.health.lag = lag
}

// SetEndpointOverride makes the health and load endpoints respond with false
// values; nil restores the true ones.
func (u *Upstream) SetEndpointOverride(override *EndpointOverride) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.health.override = override
}

// Handler serves the upstream's endpoints /health and /load.
func (u *Upstream) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		health, _ := u.healthAndLoad(time.Now())
		writeJSON(w, health)
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		_, load := u.healthAndLoad(time.Now())
		writeJSON(w, load)
	})
	return mux
}

// healthAndLoad returns what the endpoints respond with.
func (u *Upstream) healthAndLoad(now time.Time) (hickorypayload.Health, hickorypayload.Load) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if override := u.health.override; override != nil {
		return override.Health, override.Load
	}
	if u.health.capturedAt.IsZero() || now.Sub(u.health.capturedAt) >= u.health.lag {
		u.health.capturedAt = now
		u.health.health = hickorypayload.Health{State: u.healthState(now)}
		u.health.load = hickorypayload.Load{Busy: u.busy, Queued: len(u.queue), Connections: len(u.connections)}
	}
	return u.health.health, u.health.load
}

func (u *Upstream) healthState(now time.Time) hickorypayload.HealthState {
	switch {
	case u.warmUp.collapsed(now):
		return hickorypayload.HealthStateCollapsed
	case !u.drainedAt.IsZero():
		return hickorypayload.HealthStateDraining
	case u.warmUp.progress(now) < 1:
		return hickorypayload.HealthStateCold
	default:
		return hickorypayload.HealthStateServing
	}
}
