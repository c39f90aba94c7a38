// Package hickorymember detects failed upstreams. A few balancers, the observers,
// probe each host and send the list of upstreams that they suspect, their view,
// to all balancers by gossip. Every balancer derives the set of ejected upstreams
// from the views that it has received.
package hickorymember
