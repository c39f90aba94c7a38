package hickoryconfig

import (
	"time"

	"hickoryworks/core/hickorymodel"
	"hickoryworks/schema/hickoryid"
	"hickoryworks/schema/hickorymessage"
)

const (
	// ExchangeInterval is the time between two exchanges that a balancer begins.
	// The share of balancers that a read has been passed to grows by a factor of e
	// in this time; docs/configuration.md has the figures.
	ExchangeInterval = 250 * time.Millisecond
	// outageAge is the age of the newest known read above which the configuration
	// service is treated as down: contact ages of the region's balancers are then
	// requested in exchanges.
	outageAge = FreshWindow / 2
	// localExchangesPer4 is how many of 4 exchanges stay in the region during an
	// outage.
	localExchangesPer4 = 3
)

// exchange begins an exchange when one is due. A process that is starting sends a
// request to a random peer at each tick.
func (n *Node) exchange(now hickorymodel.Instant) {
	if now.Before(n.exchangeAt) || n.switchedOff.has(RuleExchange) {
		return
	}
	if !n.inService {
		n.exchangeDuringStartup(now)
		return
	}
	n.exchangeAt = now.Add(n.exchangeInterval)
	outage := now.Sub(n.freshness.readAt) > outageAge
	localOnly := outage && n.random.IntN(4) < localExchangesPer4
	if peer, ok := n.peerSample.pick(n.self, localOnly, n.random); ok {
		n.sendDigest(now, peer, false)
	}
}

func (n *Node) exchangeDuringStartup(now hickorymodel.Instant) {
	if len(n.list.balancers) == 0 {
		return
	}
	peer := n.list.balancers[n.random.IntN(len(n.list.balancers))]
	n.startup.recordRequest(peer.Control)
	n.sendDigest(now, peer, false)
}

// sendDigest sends the digest to a peer. With the hashes of the buckets, the peer
// can answer with the headers that differ; otherwise the answer says only whether
// any differ.
func (n *Node) sendDigest(now hickorymodel.Instant, peer Peer, withBuckets bool) {
	request := &hickorymessage.DigestRequest{Beacon: n.beacon(now), Root: n.store.Root()}
	request.WantHeard = peer.Region == n.self.Region && now.Sub(n.freshness.readAt) > outageAge
	bytes := exchangeBytes
	if withBuckets {
		request.Buckets = n.store.Buckets()
		bytes += bucketBytes
	}
	n.budget.charge(now, bytes)
	n.actions = append(n.actions, Action{Verb: VerbExchange, Peer: peer.Control, Digest: request})
}

// AnswerDigest answers an exchange that a peer began. Only the read index of the
// request is recorded: the request confirms nothing, since the time for which it
// was on its way is unknown.
func (n *Node) AnswerDigest(now hickorymodel.Instant, request hickorymessage.DigestRequest) hickorymessage.DigestReply {
	n.freshness.Tick(now)
	n.freshness.RecordIndex(request.Beacon)
	n.budget.charge(now, exchangeBytes)
	reply := hickorymessage.DigestReply{Beacon: n.beacon(now), Differs: request.Root != n.store.Root()}
	if reply.Differs && len(request.Buckets) > 0 {
		n.budget.charge(now, bucketBytes)
		reply.Headers = n.store.Delta(request.Buckets)
		reply.Marks = n.marks.delta(request.Buckets, n.random)
		n.budget.charge(now, markBytes*len(reply.Marks))
	}
	if request.WantHeard {
		heard, hash := n.freshness.Heard(now), n.list.membersHash
		reply.Heard, reply.ListHash = &heard, &hash
		n.budget.charge(now, len(heard))
	}
	return reply
}

// HandleDigestReply handles the answer to an exchange. Confirmations of a peer
// count only when all headers of the peer are known here, so that a confirmed
// read covers all versions that the configuration service had at that time.
func (n *Node) HandleDigestReply(now, sentAt hickorymodel.Instant, endpoint hickoryid.Endpoint, request hickorymessage.DigestRequest, reply hickorymessage.DigestReply) []Action {
	n.begin(now)
	n.freshness.RecordIndex(reply.Beacon)
	peer, listed := n.list.findBalancer(reply.Beacon.Instance)
	if !listed || peer.Control != endpoint {
		return n.actions
	}
	if reply.Differs && len(request.Buckets) == 0 {
		n.sendDigest(now, peer, true)
		return n.actions
	}
	for _, header := range reply.Headers {
		n.recordHeader(header)
	}
	n.mergeMarks(now, reply.Marks)
	n.freshness.RecordExchange(sentAt, reply.Beacon)
	if reply.Heard != nil && reply.ListHash != nil {
		n.freshness.RecordContactAges(sentAt, *reply.ListHash, *reply.Heard)
	}
	n.startup.recordReply(endpoint, reply.Beacon.InService)
	if reply.Beacon.Complete {
		n.pullMissing(endpoint)
	}
	n.applyUrgent()
	n.actions = append(n.actions, n.puller.nextCalls(now, n.budget)...)
	return n.actions
}

// recordHeader records the header of a peer. When it takes zones out of service,
// the services are resolved again at once.
func (n *Node) recordHeader(header hickorymessage.SectionHeader) {
	if n.store.RecordHeader(header) && len(header.OutOfService) > 0 {
		n.changed = true
		n.urgent = true
	}
}

// pullMissing starts to pull the contents of known versions from a peer.
func (n *Node) pullMissing(source hickoryid.Endpoint) {
	for _, team := range n.store.MissingTeams() {
		n.puller.start(team, n.store.Known(team), source)
	}
}

// CallFailed handles an exchange or a push without an answer.
func (n *Node) CallFailed(now hickorymodel.Instant, endpoint hickoryid.Endpoint) []Action {
	n.begin(now)
	n.peerSample.drop(endpoint)
	return n.actions
}
