// Package hickoryring holds the rings of a program. A ring is a bounded queue
// between two duties, the supervised goroutines of package hickoryduty.
package hickoryring
