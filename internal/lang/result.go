package lang

import (
	"slices"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// Result is the result of checking a configuration.
type Result struct {
	Spec   route.Spec
	Faults syntax.Faults // if there are any, the configuration can't be used
	Notes  syntax.Faults // what is allowed but may be unintended
	Files  []string      // all files that were read

	linesByBlock definitionLines
	classes      knownClasses
	table        *route.Table // compiled by the check for Classes; nil if there are faults
}

// Classes returns the names of the classes that the configuration can distinguish.
func (r *Result) Classes() []string { return r.classes.list.names() }

// ClassesComplete reports whether no classes exist beyond those that Classes returns.
func (r *Result) ClassesComplete() bool { return r.classes.complete }

// Compile compiles the configuration, which must have no faults, for requests of these classes. It returns the table of
// the check if that is for the same classes.
func (r *Result) Compile(classes []string) (*route.Table, error) {
	if r.table != nil && slices.Equal(classes, r.Classes()) {
		return r.table, nil
	}
	return route.Compile(&r.Spec, classes)
}

// NotIdempotent reports for each of the given classes whether it must never run twice.
func (r *Result) NotIdempotent(classes []string) []bool {
	var notIdempotent []bool
	for _, name := range classes {
		notIdempotent = append(notIdempotent, r.classes.list.isNotIdempotent(name))
	}
	return notIdempotent
}

// DefinitionLines returns the lines that define a block, including inherited settings. Each line is a fault without a
// message.
func (r *Result) DefinitionLines(kind route.BlockKind, name string) []syntax.Fault {
	return r.linesByBlock[blockID{string(kind), name}]
}

// Err returns the faults as an error, or nil if there are none.
func (r *Result) Err() error { return r.Faults.Err() }

// Diff returns how the behavior of the updated configuration differs from that of the old one. Both must have no
// faults.
func Diff(old, updated *Result) ([]route.Change, error) {
	classes := old.Classes()
	for _, name := range updated.Classes() {
		if !slices.Contains(classes, name) {
			classes = append(classes, name)
		}
	}
	oldTable, err := old.Compile(classes)
	if err != nil {
		return nil, err
	}
	newTable, err := updated.Compile(classes)
	if err != nil {
		return nil, err
	}
	notIdempotent := old.NotIdempotent(classes)
	for i, inNew := range updated.NotIdempotent(classes) {
		notIdempotent[i] = notIdempotent[i] && inNew
	}
	otherClasses := !old.ClassesComplete() || !updated.ClassesComplete()
	return route.Diff(oldTable, newTable, notIdempotent, otherClasses), nil
}
