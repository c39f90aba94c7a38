package hickorysteering

import (
	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryframe"
)

const (
	// queryInterval is the shortest time between two sends of queries, so that many
	// searches at one time share their frames: after a power off each balancer
	// searches for hundreds of flows at all agents.
	queryInterval = SearchTickInterval
	// maxQueryFlows bounds the flows of one frame, whose answer stays below the
	// 1,200 bytes of data of a packet.
	maxQueryFlows = 80
)

// query asks agents by the name of the flow, which takes a fraction of the bytes
// of its packets and no work of upstreams.
func (b *Balancer) query(s *search, agents []hickorymodel.Endpoint) {
	for _, endpoint := range agents {
		s.asked++
		b.queries[endpoint] = append(b.queries[endpoint], NoticeOf(s.packet.Flow))
	}
}

// sendQueries sends the queries that have gathered.
func (b *Balancer) sendQueries(now hickorymodel.Instant) {
	if len(b.queries) == 0 || now.Sub(b.queriedAt) < queryInterval {
		return
	}
	b.queriedAt = now
	for endpoint, flows := range b.queries {
		delete(b.queries, endpoint)
		p := b.peer(endpoint)
		p.sent(now)
		for len(flows) > 0 {
			count := min(len(flows), maxQueryFlows)
			action := frame(endpoint, KindQuery, ReasonNone, nil)
			action.Verb = VerbQuery
			action.Query = hickoryframe.Query{
				IdleTime:  uint32(b.view.IdleTimeout.Milliseconds()),
				StartedAt: uint64(p.upstream.StartedAt),
			}
			action.Flows = flows[:count]
			flows = flows[count:]
			b.actions = append(b.actions, action)
		}
	}
}

// HandleAnswers takes the answers to a query.
func (b *Balancer) HandleAnswers(now hickorymodel.Instant, from hickorymodel.Endpoint, answers []hickoryframe.Answer) []Action {
	b.actions = b.actions[:0]
	b.heard(now, from)
	for i := range answers {
		b.learn(now, from, Reason(answers[i].Reason), FlowOf(answers[i].Flow))
	}
	b.sendQueries(now)
	return b.actions
}
