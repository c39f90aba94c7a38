package hickoryid

import "time"

// Value returns the duration as a time.Duration. A decoded Duration is always valid;
// for an invalid one, and for the zero value, which stands for no duration, it
// returns 0.
func (j Duration) Value() time.Duration {
	value, err := time.ParseDuration(string(j))
	if err != nil {
		return 0
	}
	return value
}

// NewDuration returns a duration rounded to milliseconds, the smallest unit of the
// formats in schema/. Negative durations become 0.
func NewDuration(value time.Duration) Duration {
	return Duration(max(value, 0).Round(time.Millisecond).String())
}
