// Package lang turns configuration files into a route.Spec, or into a list of all that is wrong with them,
// each fault at its place.
//
// Each kind of block has a file of its own (pool.go, route.go, ...) with its settings and its checks, and a
// line in kinds; what a block changes in the behaviour of calls is package route's to compare and explain.
// It imports package route and the syntax below it, and reads files through an fs.FS alone. The program's
// command line and its reload call it.
package lang
