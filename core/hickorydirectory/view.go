package hickorydirectory

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

// ServiceHash identifies a service in datagrams between balancers and agents. It is
// a hash of its name.
type ServiceHash uint32

// HashService returns the hash of a service's name.
func HashService(name hickoryid.ServiceName) ServiceHash {
	return ServiceHash(xxhash.Sum64String(string(name)))
}

// RouteHash identifies a route in datagrams between balancers and agents. It is a hash of
// its name.
type RouteHash uint32

// HashRoute returns the hash of a route's name.
func HashRoute(name string) RouteHash {
	return RouteHash(xxhash.Sum64String(name))
}

// View is the published state that a balancer's decisions are based on. It is
// immutable.
type View struct {
	// Version is the version of the configuration; 0 while none is known.
	Version int
	// StateComplete is true once the directory has a configuration and a complete
	// listing.
	StateComplete bool
	// SettledAt is the time from which Upstreams has all upstreams that may run. Before,
	// entries may be missing that expired while the store was not available.
	SettledAt hickorymodel.Instant
	// IdleTimeout is the time without packets after which a flow may be dropped
	// from caches.
	IdleTimeout time.Duration
	Routes      map[hickorymodel.SocketAddress]*Route
	// RoutesLeftOut is true if the published version has routes that are not in Routes
	// because they could not be used. An address without a route may be one of theirs.
	RoutesLeftOut bool
	// Upstreams are sorted by ID and have different IP addresses, since an agent runs
	// beside one upstream.
	Upstreams []Upstream
}

// Route is one service address with the services that its new flows go to.
type Route struct {
	Name string
	// Hash identifies the route in datagrams between balancers and agents.
	Hash RouteHash
	// TargetLatency is the time within which requests are to be answered, counted from
	// the caller's first packet; 0 for none. Timeout is the time after which callers give
	// up; 0 while it is not known.
	TargetLatency time.Duration
	Timeout       time.Duration
	// Targets have positive weights.
	Targets []Target
	// WeightSum is the sum of the weights of Targets; 0 if there is none.
	WeightSum int
	// Priority is the published priority; 0 is the highest.
	Priority int
	// Urgent is true when another route to one of the services has a lower
	// priority.
	Urgent bool
	// Idempotent is true when a request may be processed more than once.
	Idempotent bool
}

// Target is a service that gets a share of a route's new flows.
type Target struct {
	Service ServiceHash
	Weight  int
}

// Upstream is one upstream of the list.
type Upstream struct {
	ID       hickoryid.UpstreamID
	Service  ServiceHash
	Zone     hickoryid.ZoneName
	Endpoint hickorymodel.Endpoint
	Slots    hickoryid.Slots
	// Accepting is false when the upstream is leaving or has left, or when its zone
	// is out of service. Packets of open flows are still sent to it.
	Accepting bool
	// Leaving is true when the upstream itself is leaving or has left.
	Leaving bool
	// Removed is true when the upstream has no entry any more, so that it has ended,
	// and no other entry has its address. An entry that may only have expired while
	// the store was not available does not count as removed.
	Removed bool
	// ColdUntil is when the cold start ends; 0 for a warm upstream.
	ColdUntil hickorymodel.Instant
	// RampTime and RampRate are the duration of the service's cold start and the
	// limit of new flows per second that each upstream then gets; a RampRate of 0
	// stands for no limit.
	RampTime time.Duration
	RampRate float64
	// Revision is the revision of the entry.
	Revision Revision
}

// NeverSettled is the SettledAt of a view before the first answer of the store.
const NeverSettled = hickorymodel.Instant(math.MaxInt64)

// maxClockError is the largest difference between the clocks of two machines with
// which published starts are compared: clocks were seen to be 40 minutes off.
const maxClockError = time.Hour

// View returns the state as of now; wall is the same time by the system clock.
func (d *Directory) View(now hickorymodel.Instant, wall hickorymodel.WallTime) *View {
	view := &View{Version: d.Version(), StateComplete: d.StateComplete()}
	view.SettledAt = cmp.Or(d.settledAt, NeverSettled)
	services := map[hickoryid.ServiceName]hickorymessage.RoutedService{}
	if d.table != nil {
		view.IdleTimeout = d.table.IdleTimeout.Value()
		for _, service := range d.table.Services {
			services[service.Name] = service
		}
		routes := d.routesOfView()
		view.Routes = routes.routes
		view.RoutesLeftOut = d.table.RoutesLeftOut || routes.leftOut || d.newestTableUnusable()
	}
	entries := d.entriesByAddress(now, wall.Add(maxClockError), services)
	for _, id := range slices.Sorted(maps.Keys(d.upstreams)) {
		record := d.upstreams[id]
		entry := entries[record.endpoint.Address]
		if record.endpoint.IsZero() || entry.newest != record {
			continue
		}
		upstream := d.upstream(now, record, services[record.listed.Service])
		upstream.Removed = !entry.listed
		view.Upstreams = append(view.Upstreams, upstream)
	}
	return view
}

// addressEntries sums up the entries with one IP address.
type addressEntries struct {
	// newest is the entry of the upstream that runs there.
	newest *upstreamRecord
	// listed is true when any of the entries exists, or may only have expired.
	listed bool
}

// entriesByAddress returns the entries of each address. An upstream that has restarted
// has a new entry while its old one has not expired yet. An entry of a service that
// the configuration does not name is of another writer, or of a service that was
// dropped: it does not displace one of a named service. LatestStart is the latest
// possible start of an upstream.
func (d *Directory) entriesByAddress(now hickorymodel.Instant, latestStart hickorymodel.WallTime, services map[hickoryid.ServiceName]hickorymessage.RoutedService) map[[4]byte]addressEntries {
	entries := map[[4]byte]addressEntries{}
	for _, record := range d.upstreams {
		entry := entries[record.endpoint.Address]
		if entry.newest == nil || record.displaces(entry.newest, latestStart, services) {
			entry.newest = record
		}
		entry.listed = entry.listed || record.listedOrExpired(now)
		entries[record.endpoint.Address] = entry
	}
	return entries
}

// addRoute adds a published route. Terms are those of the table; a position beyond them
// stands for none.
func (v *View) addRoute(published *hickorymessage.Route, terms []hickorymessage.RouteTerms) {
	endpoint, err := hickorymodel.ParseEndpoint(published.Address)
	if err != nil {
		v.RoutesLeftOut = true
		return
	}
	route := &Route{Name: published.Name, Hash: HashRoute(published.Name), Priority: published.Priority}
	if published.Terms > 0 && published.Terms <= len(terms) {
		entry := &terms[published.Terms-1]
		route.TargetLatency = time.Duration(entry.TargetLatencyMillis) * time.Millisecond
		route.Timeout = time.Duration(entry.TimeoutMillis) * time.Millisecond
		route.Idempotent = entry.Idempotent
	}
	for _, target := range published.Targets {
		if target.Weight > 0 {
			route.Targets = append(route.Targets, Target{Service: HashService(target.Service), Weight: target.Weight})
			route.WeightSum += target.Weight
		}
	}
	v.Routes[hickorymodel.NewSocketAddress(endpoint.AddrPort())] = route
}

// markUrgent sets Urgent by the priorities of routes to the same services.
func (v *View) markUrgent() {
	lowest := map[ServiceHash]int{}
	for _, route := range v.Routes {
		for _, target := range route.Targets {
			lowest[target.Service] = max(lowest[target.Service], route.Priority)
		}
	}
	for _, route := range v.Routes {
		for _, target := range route.Targets {
			route.Urgent = route.Urgent || route.Priority < lowest[target.Service]
		}
	}
}

func (d *Directory) upstream(now hickorymodel.Instant, record *upstreamRecord, service hickorymessage.RoutedService) Upstream {
	zone := d.zones[record.listed.Zone]
	upstream := Upstream{
		ID:        record.listed.ID,
		Service:   HashService(record.listed.Service),
		Zone:      record.listed.Zone,
		Endpoint:  record.endpoint,
		Slots:     record.listed.Slots,
		Accepting: record.accepting(now) && (zone == nil || !zone.mark.Excluded),
		Leaving:   !record.accepting(now),
		ColdUntil: record.coldUntil,
		RampTime:  service.RampTime.Value(),
		RampRate:  service.RampRate,
		Revision:  record.revision,
	}
	if zone != nil && zone.returnedAt != 0 && int(record.revision) <= zone.mark.Revision {
		upstream.ColdUntil = max(upstream.ColdUntil, zone.returnedAt.Add(upstream.RampTime+zoneReturnSlack))
	}
	return upstream
}
