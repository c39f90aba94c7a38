// Package hickoryline orders first packets that wait at an agent while its upstream
// has no room for them. It reads no clock: times and expectations come in as arguments
// and function fields.
package hickoryline
