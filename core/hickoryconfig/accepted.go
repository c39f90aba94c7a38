package hickoryconfig

import (
	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
)

// Accepted is a version of a section that passed all checks.
type Accepted struct {
	Version hickoryid.SectionVersion
	// Deleted marks a tombstone: the section has no services from this version on.
	Deleted bool
	Section hickorydocument.Section
	// Content is the section in the form in which the relay carries it.
	Content string
	// AnnouncedOutOfService lists zones that a newer version, whose content has not arrived
	// yet, takes out of service.
	AnnouncedOutOfService []hickoryid.ZoneName
}

// outOfService returns the zones of the section that receive no packets.
func (a Accepted) outOfService() []hickoryid.ZoneName {
	return append(outOfServiceZones(a.Section), a.AnnouncedOutOfService...)
}
