// Package hickoryhealth decides from the outcomes of its requests whether an upstream
// is failing, for how long it gets no new flows then, and how it gets them again. The
// upstream's own health check may be wrong either way and plays no part. The package
// reads no clock and starts nothing.
package hickoryhealth
