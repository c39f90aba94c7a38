// Package hickoryid holds the ids and units that settings, document and messages
// share. It is generated from schema/id.schema.json.
package hickoryid
