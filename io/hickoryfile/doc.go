// Package hickoryfile reads settings files and reports their faults by line.
package hickoryfile
