package hickorymodel

// MaxCandidates is the length of the longest candidate list. With six entries, five
// upstreams can be added in succession, each as the new first candidate, and the
// former first candidate is still in the list.
const MaxCandidates = 6

// CandidateState is the state of a candidate according to the sender of the packet.
type CandidateState uint8

// States of candidates. The values are part of the packet format.
const (
	// CandidateNone marks an unused entry of a list.
	CandidateNone CandidateState = iota
	// CandidateAccepting takes new flows.
	CandidateAccepting
	// CandidateOwnerOnly takes packets of flows that it owns, and no new flows.
	CandidateOwnerOnly
	// CandidateSuspected may be dead; when it does not answer a query, that counts as
	// the answer that it does not own the flow.
	CandidateSuspected
)

// Candidate is one agent of a candidate list, identified by its endpoint.
type Candidate struct {
	Endpoint Endpoint
	State    CandidateState
}

// CandidateList is the ordered list of the agents that may own a flow. The first
// entry in state CandidateNone and those after it are unused.
type CandidateList [MaxCandidates]Candidate

// Len returns the number of entries in use.
func (l *CandidateList) Len() int {
	for i := range l {
		if l[i].State == CandidateNone {
			return i
		}
	}
	return len(l)
}

// Index returns the index of an agent, or -1 if the list does not contain it.
func (l *CandidateList) Index(endpoint Endpoint) int {
	for i := range l {
		if l[i].State != CandidateNone && l[i].Endpoint == endpoint {
			return i
		}
	}
	return -1
}

// IsSuspected reports whether the list contains an agent and marks it as suspected.
func (l *CandidateList) IsSuspected(endpoint Endpoint) bool {
	position := l.Index(endpoint)
	return position >= 0 && l[position].State == CandidateSuspected
}
