// Package hickoryconfig decides which configuration of services is in force in a
// balancer or an agent.
//
// Each team publishes one section of the operators' document in the configuration
// service of the platform. A few balancers of each zone, the readers, read it from
// there; all balancers exchange versions of sections with each other, and agents
// request the section of their service from balancers. A version has a header, which
// spreads first, and a content, which is pulled in parts. Upstreams that the
// instance list shows as leaving are exchanged too, as marks.
//
// A balancer or an agent is fresh while its configuration has been confirmed
// within FreshWindow. Only then does it forward packets to other instances.
//
// Node makes the decisions of a balancer and Follower those of an agent. Both
// return actions and do no input or output; package hickoryrelay carries the
// actions out.
package hickoryconfig
