package simulator

import "time"

// ManualClock is a manually advanced clock. It implements radishspoke.Clock.
// At is the current time, and the zero value is a clock at time 0.
type ManualClock struct{ At time.Duration }

// Now returns the current time of the clock.
func (c *ManualClock) Now() time.Duration { return c.At }
