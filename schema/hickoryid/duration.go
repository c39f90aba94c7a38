package hickoryid

import "time"

// Value returns the duration. A decoded Duration always parses; the zero value
// stands for no duration.
func (j Duration) Value() time.Duration {
	value, err := time.ParseDuration(string(j))
	if err != nil {
		return 0
	}
	return value
}

// NewDuration rounds a time to milliseconds, the smallest unit of our formats.
// Negative times become 0.
func NewDuration(value time.Duration) Duration {
	return Duration(max(value, 0).Round(time.Millisecond).String())
}
