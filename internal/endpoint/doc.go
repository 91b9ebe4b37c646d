// Package endpoint decides by which of a worker's addresses it is reached: the order in which they are tried, when a
// further one is tried beside one that has not come up yet, which count as failed and for how long, and when to go
// back to a better one. It also says which entries of a list are one worker.
//
// It is free of I/O and clock and imports the standard library alone. Package resp carries out what it says; the
// service asks it about lists; a model checker runs both over all interleavings of a small scope.
package endpoint
