package hickorydirectory

// Scope is a set of parts of the published state. Each part is read by calls of its own,
// so that the small records of upstreams and zones do not wait for a large configuration.
type Scope uint8

// Parts of the published state.
const (
	// ScopeUpstreams is the list of upstreams.
	ScopeUpstreams Scope = 1 << iota
	// ScopeZones is the list of zones that are out of service.
	ScopeZones
	// ScopeTable is the configuration.
	ScopeTable
	// ScopeAll is the whole state.
	ScopeAll = ScopeUpstreams | ScopeZones | ScopeTable
)

const (
	// scopeCount is the number of parts.
	scopeCount = 3
	// scopeRecords has the parts whose records are small.
	scopeRecords = ScopeUpstreams | ScopeZones
)

// Contains reports whether the set has all parts of another one.
func (s Scope) Contains(part Scope) bool {
	return s&part == part
}

// String returns the name of a part, as in logs and metrics.
func (s Scope) String() string {
	switch s {
	case ScopeUpstreams:
		return "upstreams"
	case ScopeZones:
		return "zones"
	case ScopeTable:
		return "table"
	default:
		return "all"
	}
}

// Position says up to which revisions a balancer has all changes of each part of the
// published state, and which configuration it has.
type Position struct {
	Upstreams Revision
	Zones     Revision
	Table     Revision
	// Version is the version of the configuration; 0 for none.
	Version int
}

// Of returns the revision of a part. For several parts it is the lowest of theirs.
func (p Position) Of(scope Scope) Revision {
	lowest := max(p.Upstreams, p.Zones, p.Table)
	if scope.Contains(ScopeUpstreams) {
		lowest = min(lowest, p.Upstreams)
	}
	if scope.Contains(ScopeZones) {
		lowest = min(lowest, p.Zones)
	}
	if scope.Contains(ScopeTable) {
		lowest = min(lowest, p.Table)
	}
	return lowest
}

// advance raises the revisions of parts to a revision, unless they are higher.
func (p *Position) advance(scope Scope, through Revision) {
	if scope.Contains(ScopeUpstreams) {
		p.Upstreams = max(p.Upstreams, through)
	}
	if scope.Contains(ScopeZones) {
		p.Zones = max(p.Zones, through)
	}
	if scope.Contains(ScopeTable) {
		p.Table = max(p.Table, through)
	}
}
