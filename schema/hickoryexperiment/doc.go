// Package hickoryexperiment holds the experiments and results of the load tool,
// generated from schema/experiment.schema.json.
package hickoryexperiment
