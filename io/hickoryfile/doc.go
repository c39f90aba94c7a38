// Package hickoryfile reads settings files and reports all their problems, each with
// its line.
package hickoryfile
