// Package hickoryreport computes the report for auditors from the counters of the
// instances, and compares two reports. docs/measures.md defines each figure.
package hickoryreport
