// Package hickorytable maps a packet to the ordered list of agents that may own
// its flow, the candidate list. Flows are hashed into buckets, and rendezvous
// hashing ranks the upstreams of the service for each bucket. The result depends
// on the flow key and the table only.
package hickorytable
