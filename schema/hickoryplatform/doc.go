// Package hickoryplatform holds the responses of the platform's services, which are
// the configuration service and the instance list. It is generated from
// schema/platform.schema.json.
package hickoryplatform
