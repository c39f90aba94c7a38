package hickoryadmission

// RestoreLimit applies the opening limit of a predecessor of this process.
// Without it the restored flows exceed the limit of a cold upstream, no opening
// is admitted, and the limit never rises.
func (g *Gate) RestoreLimit(openingLimit int) {
	g.openingLimit = max(min(openingLimit, g.limits.fullOpenings()), coldOpenings)
}
