// Package hickorystrict reads settings files with the generated types alone.
// Package hickoryyaml lists all faults of a file at once, but its library takes
// 7 ms of processor time in each start, which a restarted daemon on a small
// instance pays with a third of a second of service.
package hickorystrict
