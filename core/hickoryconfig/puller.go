package hickoryconfig

import (
	"slices"
	"strings"
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// PartBytes is the largest part of a content in one reply.
	PartBytes = 4096
	// maxPulls limits the contents that are fetched at the same time.
	maxPulls = 8
	// pullTimeout ends a pull whose call has brought neither a reply nor a failure.
	pullTimeout = 2 * time.Second
	// busyRetryDelay is the time to the next call of a peer whose budget was used
	// up; the pull ends after maxBusyReplies of such replies.
	busyRetryDelay = 250 * time.Millisecond
	maxBusyReplies = 8
)

// pull is one content that is being fetched in parts from source.
type pull struct {
	team    hickoryid.TeamName
	version hickoryid.SectionVersion
	source  hickoryid.Endpoint
	content strings.Builder
	// inFlight is true while a call is pending; nextAt is the time of the next call,
	// or the time at which a pending call counts as lost.
	inFlight    bool
	nextAt      hickorymodel.Instant
	busyReplies int
}

// puller fetches contents from peers, one part at a time.
type puller struct {
	self  hickoryid.InstanceID
	pulls map[hickoryid.TeamName]*pull
}

func newPuller(self hickoryid.InstanceID) *puller {
	return &puller{self: self, pulls: map[hickoryid.TeamName]*pull{}}
}

// start begins to fetch at least the given version. It does nothing when that
// version is being fetched already or maxPulls are running.
func (p *puller) start(team hickoryid.TeamName, version hickoryid.SectionVersion, source hickoryid.Endpoint) {
	if current, ok := p.pulls[team]; ok && current.version >= version || len(p.pulls) >= maxPulls {
		return
	}
	p.pulls[team] = &pull{team: team, version: version, source: source}
}

// nextCalls returns the calls that are due, as far as the budget allows.
func (p *puller) nextCalls(now hickorymodel.Instant, budget *budget) []Action {
	var actions []Action
	for _, team := range p.teams() {
		current := p.pulls[team]
		if now.Before(current.nextAt) {
			continue
		}
		if current.inFlight {
			delete(p.pulls, team)
			continue
		}
		if !budget.allow(now, partOverheadBytes) {
			break
		}
		current.inFlight = true
		current.nextAt = now.Add(pullTimeout)
		actions = append(actions, Action{Verb: VerbPull, Peer: current.source, Pull: &hickorymessage.PullRequest{
			Instance: p.self,
			Team:     team,
			Version:  current.version,
			Offset:   current.content.Len(),
		}})
	}
	return actions
}

func (p *puller) teams() []hickoryid.TeamName {
	teams := make([]hickoryid.TeamName, 0, len(p.pulls))
	for team := range p.pulls {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	return teams
}

// handleReply handles a reply. It returns an offer when the content is complete.
func (p *puller) handleReply(now hickorymodel.Instant, from hickoryid.Endpoint, reply hickorymessage.PullReply, budget *budget) (Offer, bool) {
	budget.charge(now, len(reply.Part))
	current, ok := p.pulls[reply.Team]
	if !ok || current.source != from || !current.inFlight {
		return Offer{}, false
	}
	current.inFlight = false
	current.nextAt = now
	switch {
	case reply.Busy && current.busyReplies < maxBusyReplies:
		current.busyReplies++
		current.nextAt = now.Add(busyRetryDelay)
		return Offer{}, false
	case reply.Busy, reply.Version < current.version:
		delete(p.pulls, reply.Team)
		return Offer{}, false
	case reply.Version > current.version && current.content.Len() > 0:
		current.version = reply.Version
		current.content.Reset()
		return Offer{}, false
	}
	current.version = reply.Version
	current.content.WriteString(reply.Part)
	if current.content.Len() < reply.Size && reply.Part != "" {
		return Offer{}, false
	}
	delete(p.pulls, reply.Team)
	return Offer{Team: reply.Team, Version: reply.Version, Deleted: reply.Deleted, Content: current.content.String()}, true
}

// cancelPull ends the pull of a content after a failed call.
func (p *puller) cancelPull(team hickoryid.TeamName, from hickoryid.Endpoint) {
	if current, ok := p.pulls[team]; ok && current.source == from {
		delete(p.pulls, team)
	}
}

// answerPull returns one part of a held section, or sets Busy when the budget is
// used up.
func answerPull(now hickorymodel.Instant, store *Store, budget *budget, request hickorymessage.PullRequest) hickorymessage.PullReply {
	reply := hickorymessage.PullReply{Team: request.Team}
	held, ok := store.Held(request.Team)
	if !ok || held.Version < request.Version {
		return reply
	}
	reply.Version = held.Version
	begin := min(request.Offset, len(held.Content))
	part := held.Content[begin:min(begin+PartBytes, len(held.Content))]
	if !budget.allow(now, len(part)+partOverheadBytes) {
		reply.Busy = true
		return reply
	}
	reply.Deleted = held.Deleted
	reply.Size = len(held.Content)
	reply.Part = part
	return reply
}
