package testutil

import "time"

// Clock is a clock that stands still.
type Clock time.Duration

// Now returns the time at which the clock stands.
func (c Clock) Now() time.Duration { return time.Duration(c) }

// ArrivedAt returns the same: nothing has waited.
func (c Clock) ArrivedAt() time.Duration { return time.Duration(c) }
