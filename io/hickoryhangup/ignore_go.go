//go:build !cgo

package hickoryhangup

import (
	"os/signal"
	"syscall"
)

// Without C code the signal is ignored a few milliseconds later, when the Go runtime
// initialises the packages.
func init() {
	signal.Ignore(syscall.SIGHUP)
}
