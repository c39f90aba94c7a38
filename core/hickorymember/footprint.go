package hickorymember

import "reflect"

// Footprint is the memory that a detector's state takes.
type Footprint struct {
	Targets int
	Views   int
	// Bytes covers targets, views and queued views with the names in them. It
	// leaves out the services and balancers, whose memory other duties share.
	Bytes int
}

// Footprint returns the current size of the state.
func (d *Detector) Footprint() Footprint {
	f := Footprint{Targets: len(d.ordered), Views: len(d.views)}
	f.Bytes = len(d.ordered) * int(reflect.TypeFor[target]().Size())
	name := int(reflect.TypeFor[string]().Size())
	for _, stored := range d.views {
		f.Bytes += int(reflect.TypeFor[storedView]().Size()) + len(stored.view.Observer)
		for _, suspect := range stored.view.Suspects {
			f.Bytes += name + len(suspect)
		}
	}
	f.Bytes += len(d.queue.entries) * int(reflect.TypeFor[queuedView]().Size())
	return f
}
