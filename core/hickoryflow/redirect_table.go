package hickoryflow

import (
	"time"

	"hickoryworks/core/hickorymodel"
)

const (
	// redirectLifetime is three times registerInterval, so that an entry
	// survives the loss of two messages in a row.
	redirectLifetime = 300 * time.Second
	// maxRedirects bounds the entries of one table.
	maxRedirects = 4096
	// querierLifetime covers the time in which balancers may still use an older
	// table: a change is in effect everywhere within 11 s.
	querierLifetime = 15 * time.Second
	// offerTime covers the way of an offer over MaxHops agents, with delays of some
	// 60 ms each.
	offerTime = 500 * time.Millisecond
	// releasedTime covers the time in which a caller repeats its first packet.
	releasedTime = 75 * time.Second
)

// redirectTable holds redirect entries: the owners of flows that other agents
// own.
type redirectTable struct {
	// entries has at most maxRedirects entries.
	entries  map[hickorymodel.FlowKey]redirect
	lifetime time.Duration
}

type redirect struct {
	owner hickorymodel.Endpoint
	endAt hickorymodel.Instant
}

func newRedirectTable(lifetime time.Duration) *redirectTable {
	return &redirectTable{
		entries:  map[hickorymodel.FlowKey]redirect{},
		lifetime: lifetime,
	}
}

func (r *redirectTable) find(now hickorymodel.Instant, key hickorymodel.FlowKey) (hickorymodel.Endpoint, bool) {
	entry, ok := r.entries[key]
	if !ok || !now.Before(entry.endAt) {
		return hickorymodel.Endpoint{}, false
	}
	return entry.owner, true
}

func (r *redirectTable) contains(now hickorymodel.Instant, key hickorymodel.FlowKey) bool {
	_, found := r.find(now, key)
	return found
}

// put stores an owner. When the table is full, expired entries are removed
// first; if none has expired, the new entry is not stored and packets of the
// flow are walked.
func (r *redirectTable) put(now hickorymodel.Instant, key hickorymodel.FlowKey, owner hickorymodel.Endpoint) {
	r.putUntil(now, key, owner, now.Add(r.lifetime))
}

// putUntil stores an owner with a given time of expiry.
func (r *redirectTable) putUntil(now hickorymodel.Instant, key hickorymodel.FlowKey, owner hickorymodel.Endpoint, endAt hickorymodel.Instant) {
	if _, known := r.entries[key]; !known && len(r.entries) >= maxRedirects {
		r.expire(now)
		if len(r.entries) >= maxRedirects {
			return
		}
	}
	r.entries[key] = redirect{owner: owner, endAt: endAt}
}

func (r *redirectTable) remove(key hickorymodel.FlowKey) {
	delete(r.entries, key)
}

func (r *redirectTable) removeOwners(owners map[hickorymodel.Endpoint]struct{}) {
	if len(owners) == 0 {
		return
	}
	for key, entry := range r.entries {
		if _, excluded := owners[entry.owner]; excluded {
			delete(r.entries, key)
		}
	}
}

func (r *redirectTable) expire(now hickorymodel.Instant) {
	for key, entry := range r.entries {
		if !now.Before(entry.endAt) {
			delete(r.entries, key)
		}
	}
}
