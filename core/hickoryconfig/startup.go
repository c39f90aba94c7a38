package hickoryconfig

import "hickoryworks/schema/hickoryid"

// minStartupPeers is the minimum number of peers that a starting process asks
// before it concludes that all of them are starting.
const minStartupPeers = 16

// startup decides when a process that has just started may put sections in force:
// when it has merged the digest of one peer in service, or, when all peers that
// answer are themselves starting, the digests of more than half of those it asked
// and the versions of the configuration service. Without this rule a process that
// restarts while the configuration service is stale would put older versions in
// force than before.
type startup struct {
	asked    map[hickoryid.Endpoint]struct{}
	answered map[hickoryid.Endpoint]struct{}
	// merged is true when the digest of a peer in service has been merged.
	merged bool
}

func newStartup() startup {
	return startup{asked: map[hickoryid.Endpoint]struct{}{}, answered: map[hickoryid.Endpoint]struct{}{}}
}

func (s *startup) recordRequest(peer hickoryid.Endpoint) {
	s.asked[peer] = struct{}{}
}

// recordReply records that all headers of a peer have been merged.
func (s *startup) recordReply(peer hickoryid.Endpoint, inService bool) {
	s.merged = s.merged || inService
	s.answered[peer] = struct{}{}
}

// done reports whether sections may be put in force. readKnown is true when a read
// of the configuration service is known whose versions are all known here.
func (s *startup) done(list *Listing, readKnown bool) bool {
	switch {
	case s.merged:
		return true
	case !list.known || !readKnown:
		return false
	case len(list.balancers) == 0:
		return true
	default:
		return len(s.asked) >= min(minStartupPeers, len(list.balancers)) && 2*len(s.answered) > len(s.asked)
	}
}
