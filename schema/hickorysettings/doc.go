// Package hickorysettings holds the settings of the daemons. It is generated from
// schema/settings.schema.json.
package hickorysettings
