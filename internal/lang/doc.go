// Package lang turns configuration files into a route.Spec, or into a list of all faults in them, each at its position.
// docs/language.md describes the language.
//
// Check reads the first file and all that it includes (load.go, include.go), reads each block's settings by its
// blockType (block.go, readblock.go, values.go, units.go), has the blockType build its part of the Spec, checks the
// blocks of each kind (class.go, policy.go, pool.go, selector.go, route.go, worker.go), and at last checks the compiled
// table as a whole (checktable.go). A further kind of block is a file of its own and a line in blockTypes.
//
// The package reads files through an fs.FS alone. It imports package route, which compares and explains what a
// configuration does, and package syntax. The command line and the server's reload call it.
package lang
