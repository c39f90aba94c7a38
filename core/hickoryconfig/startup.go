package hickoryconfig

import "hickoryworks/schema/hickoryid"

// startingSample is the number of peers that a starting process asks at least
// before it concludes that all of them are starting.
const startingSample = 16

// starting decides when a process that has just started may put sections in
// force: when it has merged the digest of one peer in service, or, when all
// peers that answer are themselves starting, the digests of more than half of
// those it asked and the versions of the service. Without this rule a process
// that restarts while the service is stale would go back to older versions.
type starting struct {
	asked    map[hickoryid.Endpoint]struct{}
	answered map[hickoryid.Endpoint]struct{}
	// merged is true when a peer in service has been merged.
	merged bool
}

func newStarting() starting {
	return starting{asked: map[hickoryid.Endpoint]struct{}{}, answered: map[hickoryid.Endpoint]struct{}{}}
}

func (s *starting) ask(peer hickoryid.Endpoint) {
	s.asked[peer] = struct{}{}
}

// answer notes that all headers of a peer have been merged.
func (s *starting) answer(peer hickoryid.Endpoint, inService bool) {
	s.merged = s.merged || inService
	s.answered[peer] = struct{}{}
}

// done reports whether sections may be put in force. A known read is one whose
// versions the own headers cover.
func (s *starting) done(list *Listing, readKnown bool) bool {
	switch {
	case s.merged:
		return true
	case !list.known || !readKnown:
		return false
	case len(list.balancers) == 0:
		return true
	default:
		return len(s.asked) >= min(startingSample, len(list.balancers)) && 2*len(s.answered) > len(s.asked)
	}
}
