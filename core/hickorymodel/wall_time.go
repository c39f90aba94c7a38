package hickorymodel

import "time"

// WallTime is a time of the system clock in milliseconds since 1970; 0 means unknown.
// The clocks of machines differ and may be set, so only times of the same machine
// may be compared.
type WallTime int64

// NewWallTime converts a time of package time.
func NewWallTime(t time.Time) WallTime {
	return WallTime(t.UnixMilli())
}

// Add returns the time d later.
func (t WallTime) Add(d time.Duration) WallTime {
	return t + WallTime(d.Milliseconds())
}
