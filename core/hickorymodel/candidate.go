package hickorymodel

// MaxCandidates is the longest candidate list. Six entries survive five
// additions in a row before the former first candidate leaves the list.
const MaxCandidates = 6

// CandidateState is what the sender of a packet knows of a candidate.
type CandidateState uint8

// States of candidates. The values are part of the packet format.
const (
	// CandidateNone marks an unused entry of a list.
	CandidateNone CandidateState = iota
	// CandidateAccepting takes new flows.
	CandidateAccepting
	// CandidateOwnerOnly takes packets of flows that it owns, and no new flows.
	CandidateOwnerOnly
	// CandidateSuspected may be dead; its silence counts as not owning a flow.
	CandidateSuspected
)

// Candidate is one agent of a candidate list.
type Candidate struct {
	Endpoint Endpoint
	State    CandidateState
}

// CandidateList is an ordered list of agents; entries after the first one in
// state CandidateNone are unused.
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

// Index returns the position of an agent, or -1.
func (l *CandidateList) Index(endpoint Endpoint) int {
	for i := range l {
		if l[i].State != CandidateNone && l[i].Endpoint == endpoint {
			return i
		}
	}
	return -1
}

// IsSuspected reports whether the list names an agent as suspected.
func (l *CandidateList) IsSuspected(endpoint Endpoint) bool {
	position := l.Index(endpoint)
	return position >= 0 && l[position].State == CandidateSuspected
}
