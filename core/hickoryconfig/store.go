package hickoryconfig

import (
	"slices"
	"strings"

	"hickoryworks/schema/hickorydocument"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
	"hickoryworks/schema/hickoryplatform"
)

// Decode parses the content of a section, encoded as it is sent to peers.
type Decode func(content string) (hickorydocument.Section, []Problem)

// Offer is a version of a section from the configuration service or from a peer.
type Offer struct {
	// Team is taken from the key of the value.
	Team    hickoryid.TeamName
	Version hickoryid.SectionVersion
	Deleted bool
	Content string
}

// NewOffer converts a value of the configuration service.
func NewOffer(value hickoryplatform.Value) Offer {
	key := value.Key[strings.LastIndexByte(value.Key, '/')+1:]
	return Offer{
		Team:    hickoryid.TeamName(key),
		Version: value.Version,
		Deleted: value.Deleted,
		Content: value.Content,
	}
}

// Outcome is the result of Store.Accept.
type Outcome uint8

// Outcomes.
const (
	// OutcomeOld: the version is not higher than the held one, or it has been
	// rejected before.
	OutcomeOld Outcome = iota
	// OutcomeAccepted: the version is now held.
	OutcomeAccepted
	// OutcomeRejected: the version does not pass the checks.
	OutcomeRejected
)

// Store holds the highest accepted version of each section, and the headers of
// higher versions that peers have accepted and whose content has not arrived. A
// version is known when its header has arrived, and held when its content has
// been accepted.
type Store struct {
	decode Decode
	// held never returns to a lower version of a section.
	held map[hickoryid.TeamName]Accepted
	// known has the highest header of each section; it is at least as high as held.
	known map[hickoryid.TeamName]hickorymessage.SectionHeader
	// rejected has the newest rejected version of each section, which is not
	// checked again. A lower version may still be accepted from a peer.
	rejected map[hickoryid.TeamName]hickoryid.SectionVersion
	// digest covers known, so that a new version is announced to peers before its
	// content arrives.
	digest Digest
	// missing counts the sections whose known version is not held.
	missing int
	// switchedOff holds the rules that a test has switched off.
	switchedOff Rule
}

// NewStore returns an empty store.
func NewStore(decode Decode) *Store {
	return &Store{
		decode:   decode,
		held:     map[hickoryid.TeamName]Accepted{},
		known:    map[hickoryid.TeamName]hickorymessage.SectionHeader{},
		rejected: map[hickoryid.TeamName]hickoryid.SectionVersion{},
	}
}

// Accept checks an offer and holds it when its version is higher and it has no
// problems. Offers of the configuration service and of peers pass the same checks.
func (s *Store) Accept(offer Offer) (Outcome, []Problem) {
	held, ok := s.held[offer.Team]
	if ok && offer.Version <= held.Version && !s.switchedOff.has(RuleRisingVersions) {
		return OutcomeOld, nil
	}
	if rejected, ok := s.rejected[offer.Team]; ok && offer.Version == rejected {
		return OutcomeOld, nil
	}
	accepted := Accepted{Version: offer.Version, Deleted: offer.Deleted, Content: offer.Content}
	if offer.Deleted {
		accepted.Content = ""
		accepted.Section.Team = offer.Team
	} else {
		section, found := s.decode(offer.Content)
		if len(found) == 0 && !s.switchedOff.has(RuleChecks) {
			found = Check(offer.Team, section)
		}
		if len(found) > 0 {
			s.rejected[offer.Team] = offer.Version
			return OutcomeRejected, found
		}
		accepted.Section = section
	}
	s.hold(offer.Team, accepted)
	return OutcomeAccepted, nil
}

func (s *Store) hold(team hickoryid.TeamName, accepted Accepted) {
	if s.Missing(team) {
		s.missing--
	}
	s.held[team] = accepted
	s.RecordHeader(hickorymessage.SectionHeader{
		Team:         team,
		Version:      accepted.Version,
		OutOfService: outOfServiceZones(accepted.Section),
	})
	if s.Missing(team) {
		s.missing++
	}
}

// RecordHeader records the header of a version that a peer has accepted. It
// reports whether the version is higher than the known one.
func (s *Store) RecordHeader(header hickorymessage.SectionHeader) bool {
	known, ok := s.known[header.Team]
	if ok && header.Version <= known.Version {
		return false
	}
	wasMissing := s.Missing(header.Team)
	if ok {
		s.digest.toggle(header.Team, known.Version)
	}
	s.known[header.Team] = header
	s.digest.toggle(header.Team, header.Version)
	if !wasMissing && s.Missing(header.Team) {
		s.missing++
	}
	return true
}

// Missing reports whether a higher version than the held one is known.
func (s *Store) Missing(team hickoryid.TeamName) bool {
	known, ok := s.known[team]
	if !ok {
		return false
	}
	held, ok := s.held[team]
	return !ok || held.Version < known.Version
}

// Complete reports whether the content of all known versions is held.
func (s *Store) Complete() bool {
	return s.missing == 0
}

// MissingTeams returns the sections whose known version is not held, in order.
func (s *Store) MissingTeams() []hickoryid.TeamName {
	var teams []hickoryid.TeamName
	for team := range s.known {
		if s.Missing(team) {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// Held returns the held version of a section.
func (s *Store) Held(team hickoryid.TeamName) (Accepted, bool) {
	held, ok := s.held[team]
	return held, ok
}

// Known returns the highest known version of a section.
func (s *Store) Known(team hickoryid.TeamName) hickoryid.SectionVersion {
	return s.known[team].Version
}

// Root returns the hash of all known headers.
func (s *Store) Root() string {
	return s.digest.Root()
}

// Buckets returns the hash of each bucket of the digest, as messages carry it.
func (s *Store) Buckets() []string {
	return s.digest.Texts()
}

// Delta returns the known headers in the buckets that differ from a peer's.
func (s *Store) Delta(buckets []string) []hickorymessage.SectionHeader {
	differing := s.digest.differing(buckets)
	var headers []hickorymessage.SectionHeader
	for team, header := range s.known {
		if differing[bucketOf(team)] {
			headers = append(headers, header)
		}
	}
	slices.SortFunc(headers, func(a, b hickorymessage.SectionHeader) int {
		return strings.Compare(string(a.Team), string(b.Team))
	})
	return headers
}

// Effective returns the sections to put in force. A section below its minimum
// version is left out: a process that has just started does not put an older
// version in force than its peers had then. Zones that a known newer version takes
// out of service are out of service at once.
func (s *Store) Effective(minVersions map[hickoryid.TeamName]hickoryid.SectionVersion) map[hickoryid.TeamName]Accepted {
	effective := make(map[hickoryid.TeamName]Accepted, len(s.held))
	for team, held := range s.held {
		if held.Version < minVersions[team] {
			continue
		}
		if s.Missing(team) && !s.switchedOff.has(RuleAnnouncedZones) {
			held.AnnouncedOutOfService = s.known[team].OutOfService
		}
		effective[team] = held
	}
	return effective
}
