// Package hickoryload is the load tool: it runs balancers, agents and the stand-ins
// as processes on loopback and measures their cost at several sizes and under
// faults.
package hickoryload
