// Package hickoryscenario holds the scenario tests of the core packages. Scripts in
// testdata list actions of operators and callers, and faults; a driver runs them
// against the state machines in virtual time. The driver uses only the public API
// of the core packages, as a second front end would.
package hickoryscenario
