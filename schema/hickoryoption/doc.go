// Package hickoryoption holds the binary layout of the Geneve option in which
// hickoryworks sends its header. It is generated from schema/option.json.
package hickoryoption
