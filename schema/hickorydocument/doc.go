// Package hickorydocument holds the operators' document, which configures the
// services of all teams. It is generated from schema/document.schema.json.
package hickorydocument
