package hickorydirectory

import "hickoryworks/schema/hickorymessage"

// Revision is the store's counter of changes; each change has a higher one.
type Revision int

// Change is one change of the published state. Exactly one of the fields is set, besides
// TableRevision.
type Change struct {
	Table *hickorymessage.RouteTable
	// TableRevision is the revision at which Table was written; 0 for the table of another
	// balancer.
	TableRevision Revision
	// UnusableTable is the revision of a configuration that can't be used as a whole. The
	// one before stays in force.
	UnusableTable Revision
	Upstream      *hickorymessage.ListedUpstream
	Removed       *hickorymessage.RemovedUpstream
	// Unreadable names an entry that exists but can't be parsed.
	Unreadable *hickorymessage.RemovedUpstream
	Zone       *hickorymessage.ZoneMark
}

// RejectedValue is a published value that can't be parsed. If its key names an
// upstream, the upstream gets no new flows, otherwise the last valid value stays in use.
type RejectedValue struct {
	Key    string
	Reason string
}

// Batch is one answer of the store, or the state of another balancer.
type Batch struct {
	// Through is the revision up to which all changes of the store are known with
	// this batch and the ones before it.
	Through Revision
	// Since is the revision after which the batch has all changes up to Through. A
	// batch that leaves a gap after what is known does not count up to Through.
	Since Revision
	// Scope has the parts of the state that the batch covers; 0 stands for all.
	Scope Scope
	// Complete is true for a listing of the parts: a record that is neither in it nor
	// newer than Through does not exist.
	Complete bool
	Changes  []Change
	// Superseded counts the versions of the configuration that the answer had besides the
	// newest one. They are not decoded.
	Superseded     int
	RejectedValues []RejectedValue
}

// scope returns the parts of the state that the batch covers.
func (b *Batch) scope() Scope {
	if b.Scope == 0 {
		return ScopeAll
	}
	return b.Scope
}
