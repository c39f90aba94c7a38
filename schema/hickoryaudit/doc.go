// Package hickoryaudit holds the auditors' report: the shares of broken and refused
// flows and the imbalance of each service. It is generated from
// schema/report.schema.json.
package hickoryaudit
