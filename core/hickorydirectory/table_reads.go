package hickorydirectory

import "time"

// TableReads decides how a balancer reads the configuration from the store. A watch
// returns each version since the last one that is known, which is more than a slow
// balancer can read while versions follow each other quickly. Only the newest version
// counts, so such a balancer reads that alone until it has kept up.
type TableReads struct {
	// behind is true after a read that failed or brought more than one version, and until
	// a read of the newest version brings none that is newer.
	behind bool
	// revision is the highest revision of a version that was read.
	revision Revision
}

// NewestOnly reports whether the next read is to bring the newest version alone.
func (r *TableReads) NewestOnly() bool {
	return r.behind
}

// RecordFailure records that a read has failed. It may have been too large.
func (r *TableReads) RecordFailure() {
	r.behind = true
}

// RecordAnswer records an answer and reports whether it brought a newer version.
func (r *TableReads) RecordAnswer(batch *Batch) bool {
	newest := r.revision
	for i := range batch.Changes {
		newest = max(newest, batch.Changes[i].TableRevision, batch.Changes[i].UnusableTable)
	}
	newer := newest > r.revision
	r.revision = newest
	if batch.Complete {
		r.behind = newer
	} else {
		r.behind = batch.Superseded > 0
	}
	return newer
}

// maxReadPause bounds the pause after a read that took long.
const maxReadPause = time.Second

// Pause returns the time until the next read after one that brought a version and took a
// time: reading takes at most half of a balancer's time, and no less than a minimum is
// left between two reads.
func (r *TableReads) Pause(took, minimum time.Duration) time.Duration {
	return max(minimum, min(took, maxReadPause))
}
