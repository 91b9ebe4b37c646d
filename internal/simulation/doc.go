// Package simulation runs a fleet of routers in memory and in virtual time: many router cores, each with its own
// decision module, in front of shared simulated workers. The package neither blocks nor reads a clock, so a test can
// check the combined behavior of hundreds of routers, and runs with equal seeds are identical.
//
// A test builds a [Fleet], schedules traffic and faults with [Fleet.Traffic], [Fleet.After] and [Fleet.Notify],
// advances virtual time with [Fleet.Run], and then reads [Fleet.Requests], [Fleet.Workers] and the routers'
// [Violations]. The steps of the scenarios in features/ do the same. Only tests use this package.
package simulation
