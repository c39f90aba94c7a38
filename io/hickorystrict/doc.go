// Package hickorystrict decodes settings files with the generated types alone and
// reports the first problem. Package hickoryyaml reports all problems of a file at
// once, but its schema library takes 7 ms of processor time at each start. On a small
// instance, that lengthens the interruption by a restart by a third of a second.
package hickorystrict
