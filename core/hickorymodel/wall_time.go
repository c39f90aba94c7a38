package hickorymodel

import "time"

// WallTime is a time of day in milliseconds since 1970; 0 stands for unknown. The
// clocks of machines differ and may jump, so only times of one machine compare.
type WallTime int64

// NewWallTime returns the time of day as a WallTime.
func NewWallTime(t time.Time) WallTime {
	return WallTime(t.UnixMilli())
}

// Add returns the time d later.
func (t WallTime) Add(d time.Duration) WallTime {
	return t + WallTime(d.Milliseconds())
}
