// Package hickoryevent holds the catalogue of log events. It is generated from
// schema/event.json.
package hickoryevent
