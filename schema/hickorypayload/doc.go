// Package hickorypayload holds the messages between the stand-ins (test doubles)
// for callers and upstreams, generated from schema/payload.schema.json.
package hickorypayload
