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
	// Content is the encoded text of the section, as it is sent to peers.
	Content string
	// AnnouncedOutOfService lists the zones that a newer version takes out of
	// service. The header of that version has arrived, its content has not.
	AnnouncedOutOfService []hickoryid.ZoneName
}

// outOfService returns the zones of the section that receive no packets.
func (a Accepted) outOfService() []hickoryid.ZoneName {
	return append(outOfServiceZones(a.Section), a.AnnouncedOutOfService...)
}
