// Package lang compiles configuration files into a route.Spec, or into a list of all faults in them, each at its
// position. docs/language.md describes the language.
//
// Check works in steps, each of which reports its faults to a reporter and continues:
//
//  1. loader reads the first file and all files that it includes, up to the sizeLimits of the router's memory (load.go,
//     include.go, sizelimits.go).
//  2. blockReader reads the settings of each block according to its blockType, and drops the block's syntax (block.go,
//     settinglist.go, settings.go, readblock.go, values.go, units.go).
//  3. symbolTable records the names of the blocks (symbols.go), and definitionLines records the lines that the command
//     explain shows (definingline.go).
//  4. A blockBuilder for each keyword builds its part of the Spec (builder.go, worker.go, class.go, route.go, pool.go,
//     policy.go).
//  5. Once all blocks are built, each builder checks its blocks against the others: references by name (reference.go),
//     selectors (selectorcheck.go), addresses (address.go), policies (policycheck.go).
//  6. If there are no faults, tableChecker checks the compiled table as a whole (checktable.go).
//
// checker (check.go) runs the steps, and result.go defines the result of Check. A new type of block needs a file of its
// own, an entry in blockTypes and an entry in newChecker.
//
// All steps run on the goroutine that calls Check; no state is kept between two checks.
//
// The package reads files only through an fs.FS. It imports package syntax and package route, which compares and
// explains what a configuration does. It is called by the command line and by the server when it reloads its routes.
package lang
