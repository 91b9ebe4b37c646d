package testutil

import "time"

// Clock is a clock that always returns the same time.
type Clock time.Duration

// Now returns the clock's time.
func (c Clock) Now() time.Duration { return time.Duration(c) }

// ArrivedAt returns the same time as Now, as if there were no delay between arrival and processing.
func (c Clock) ArrivedAt() time.Duration { return time.Duration(c) }
