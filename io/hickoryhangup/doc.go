// Package hickoryhangup makes a program ignore SIGHUP before the Go runtime
// starts. A daemon imports it for that effect alone: without it, a reload that is
// asked for while the process starts ends the process, because the runtime's
// default applies until main registers a handler. Nothing is lost, since the
// settings are read after the handler is in place.
package hickoryhangup

import "C"
