package hickorysteering

import "hickoryworks/core/hickorymodel"

// Tick does the periodic work of the balancer: it detects silent agents, sends
// hellos and queries, advances searches and removes old cache entries.
func (b *Balancer) Tick(now hickorymodel.Instant) []Action {
	b.actions = b.actions[:0]
	b.detectSilentAgents(now)
	b.sendHellos(now)
	b.advanceSearches(now)
	b.sendPostponed(now)
	if now.Sub(b.sweptAt) >= sweepInterval {
		b.sweptAt = now
		b.sweep(now)
	}
	b.sendQueries(now)
	return b.actions
}

// detectSilentAgents marks agents as silent that have left frames unanswered for
// longer than silenceLimit, and removes agents from searches that have ended.
func (b *Balancer) detectSilentAgents(now hickorymodel.Instant) {
	agentEnded := false
	for _, p := range b.peers {
		wasEnded := p.ended
		p.ended = p.agentEnded(now)
		agentEnded = agentEnded || (p.ended && !wasEnded)
		if p.silent || p.awaitingAnswerSince == 0 || now.Sub(p.awaitingAnswerSince) <= silenceLimit {
			continue
		}
		p.silent = true
		b.recordDecision(&Decision{Step: StepAgentSilent, Peer: p.endpoint, Upstream: p.upstream.ID})
	}
	if agentEnded {
		b.dropEndedAgents(now)
	}
}

// sendHellos requests reports from agents whose helloDue reports true, at most
// maxHellosPerTick.
func (b *Balancer) sendHellos(now hickorymodel.Instant) {
	sent := b.sendFirstHellos(now)
	for _, p := range b.peers {
		if sent == maxHellosPerTick {
			return
		}
		if !p.listed || !p.helloDue(now) {
			continue
		}
		b.sendHello(now, p)
		sent++
	}
}

// sendHello requests a report from an agent.
func (b *Balancer) sendHello(now hickorymodel.Instant, p *peer) {
	p.helloAt = now
	p.awaitAnswer(now)
	b.actions = append(b.actions, frameAction(p.endpoint, KindHello, b.helloReason(), nil))
}

// sweep removes idle flows, old searches, and peers that are not listed and from which
// no frame has arrived for addressLife.
func (b *Balancer) sweep(now hickorymodel.Instant) {
	limit := b.view.IdleTimeout + flowSlack
	for key, f := range b.flows {
		if now.Sub(f.seenAt) > limit {
			delete(b.flows, key)
		}
	}
	for key, s := range b.searches {
		if now.Sub(s.startedAt) > searchLife {
			b.endSearch(key, s)
		}
	}
	for endpoint, p := range b.peers {
		if !p.listed && now.Sub(max(p.lastFrameAt, p.listedAt)) > addressLife {
			delete(b.peers, endpoint)
		}
	}
}

// Isolated reports whether the balancer seems cut off: several agents count as
// silent, or the only listed one, and no frame of any agent has arrived for
// silenceLimit.
func (b *Balancer) Isolated(now hickorymodel.Instant) bool {
	listed, silent := 0, 0
	for _, p := range b.peers {
		if !p.listed {
			continue
		}
		listed++
		if p.silent {
			silent++
		}
	}
	noFrames := now.Sub(b.lastFrameAt) > silenceLimit
	return listed > 0 && noFrames && silent >= min(minSilentAgents, listed)
}
