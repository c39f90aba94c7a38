// Package hickoryring holds the rings of a program. A ring is a bounded queue
// between two duties, the supervised goroutines of package hickoryduty. The decide
// duty of a daemon makes all decisions about packets and flows; other duties receive,
// send and make calls.
package hickoryring
