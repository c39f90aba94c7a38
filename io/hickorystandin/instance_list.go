package hickorystandin

import (
	"net/http"
	"slices"
	"time"

	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickoryplatform"
)

// instanceList holds the versions of the instance list that may still be served,
// guarded by the platform's mutex.
type instanceList struct {
	// lag is the age at which a version is served.
	lag time.Duration
	// versions are ordered by time. The first is the one being served, or the
	// one that was served last.
	versions []listVersion
}

// listVersion is the list of instances from a time on.
type listVersion struct {
	since     time.Time
	instances []hickoryplatform.Instance
}

// at returns the list as it was lag before the given time and drops older versions.
func (l *instanceList) at(now time.Time) []hickoryplatform.Instance {
	for len(l.versions) > 1 && now.Sub(l.versions[1].since) >= l.lag {
		l.versions = l.versions[1:]
	}
	if len(l.versions) == 0 || now.Sub(l.versions[0].since) < l.lag {
		return []hickoryplatform.Instance{}
	}
	return l.versions[0].instances
}

// SetInstances replaces the list of instances.
func (p *Platform) SetInstances(instances []hickoryplatform.Instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.list.versions = append(p.list.versions, listVersion{since: time.Now(), instances: slices.Clone(instances)})
}

// AddInstance adds an instance to the list.
func (p *Platform) AddInstance(instance hickoryplatform.Instance) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var instances []hickoryplatform.Instance
	if count := len(p.list.versions); count > 0 {
		instances = slices.Clone(p.list.versions[count-1].instances)
	}
	instances = append(instances, instance)
	p.list.versions = append(p.list.versions, listVersion{since: time.Now(), instances: instances})
}

// ListedControlEndpoints returns the control sockets of the instances on the
// newest list, whether it is served yet or not.
func (p *Platform) ListedControlEndpoints() []hickoryid.Endpoint {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var endpoints []hickoryid.Endpoint
	if count := len(p.list.versions); count > 0 {
		for _, instance := range p.list.versions[count-1].instances {
			endpoints = append(endpoints, instance.ControlEndpoint)
		}
	}
	return endpoints
}

// SetInstanceLag sets how old the instance list is that the platform serves.
func (p *Platform) SetInstanceLag(lag time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.list.lag = lag
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	down := p.down
	reply := hickoryplatform.Instances{Instances: p.list.at(time.Now())}
	p.mutex.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	p.reply(w, reply)
}
