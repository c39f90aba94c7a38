// Package hickorydemo runs all roles in one process on loopback sockets, stops,
// adds and drains instances under load, and reports whether the guarantees of the
// design page (P1, P2 and so on) hold for callers and upstreams.
package hickorydemo
