package hickorydirectory

import "hickoryworks/schema/hickorymessage"

// Revision is the store's counter of changes.
type Revision int

// Change is one change of what the store publishes. Exactly one field is set.
type Change struct {
	Table    *hickorymessage.RouteTable
	Upstream *hickorymessage.ListedUpstream
	Removed  *hickorymessage.RemovedUpstream
	Zone     *hickorymessage.ZoneMark
}

// RejectedValue is a published value that can't be read. The key's last readable value
// is no longer used when it named an upstream, and stays otherwise.
type RejectedValue struct {
	Key    string
	Reason string
}

// Batch is one answer of the store.
type Batch struct {
	// Through is the revision up to which the store's changes are known with
	// this batch and the ones before it.
	Through Revision
	// Complete is true for a listing: what it does not name, and is not newer
	// than Through, does not exist.
	Complete       bool
	Changes        []Change
	RejectedValues []RejectedValue
}
