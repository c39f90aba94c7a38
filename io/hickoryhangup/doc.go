// Package hickoryhangup makes a program ignore SIGHUP before the Go runtime starts.
// Daemons, which reload their settings on SIGHUP, import it for this side effect.
// Without it, a SIGHUP that arrives while the process starts ends the process, because
// the runtime's default action applies until main registers a handler. Ignoring the
// signal loses no change of the settings, since the daemon reads them after it has
// registered the handler.
//
// A SIGHUP that arrives before the system has loaded the program still ends it: the
// default action applies from the start of the new program on, and no instruction of
// the program has run yet.
package hickoryhangup
