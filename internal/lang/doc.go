// Package lang compiles configuration files into a route.Spec, or into a list of all faults in them, each at its
// position. docs/language.md describes the language.
//
// Check works in steps, each of which reports its faults to a reporter and continues:
//
//  1. loader reads the first file and all that it includes (load.go, include.go).
//  2. blockReader reads the settings of each block as the blockType requires (block.go, settings.go, readblock.go,
//     values.go, units.go).
//  3. symbolTable enters the names of the blocks (symbols.go), and definingLines the lines that explain shows
//     (definingline.go).
//  4. A blockBuilder for each keyword builds its part of the Spec (builder.go, worker.go, class.go, route.go, pool.go,
//     policy.go).
//  5. Once all blocks are built, each builder checks its blocks against the others: references by name (reference.go),
//     selectors (selectorcheck.go), addresses (address.go), policies (policycheck.go).
//  6. If there are no faults, tableChecker checks the compiled table as a whole (checktable.go).
//
// checker (check.go) coordinates the steps, and result.go has what Check returns. A further kind of block is a file of
// its own, a line in blockTypes and a line in newChecker.
//
// All of it runs on the goroutine that calls Check; nothing is kept between two checks.
//
// The package reads files through an fs.FS alone. It imports package route, which compares and explains what a
// configuration does, and package syntax. The command line and the server's reload call it.
package lang
