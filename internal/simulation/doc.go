// Package simulation runs a fleet of routers in memory and in virtual time: many cores of the router, each with its
// own decision module, in front of shared simulated workers. Nothing in it waits or reads a clock, so a test can look
// at what hundreds of routers do together, and equal seeds give equal runs.
//
// A test builds a [Fleet], plans traffic and faults with [Fleet.Traffic], [Fleet.After] and [Fleet.Notify], lets
// virtual time pass with [Fleet.Run], and then reads [Fleet.Requests], [Fleet.Workers] and the routers' [Violations].
// The scenarios in features/ are written that way. No program uses the package.
package simulation
