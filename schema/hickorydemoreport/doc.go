// Package hickorydemoreport holds the result of the demo program, generated
// from schema/demo.schema.json.
package hickorydemoreport
