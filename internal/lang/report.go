package lang

import "crankhold/internal/lang/syntax"

// reporter collects the faults and notes of a check, in the order in which they are found.
type reporter struct {
	faults syntax.Faults
	notes  syntax.Faults

	compared int // names that suggest has compared
}

// maxComparedNames is how many names are compared for the suggestions of a check. Without a limit, the work would grow
// with the number of mistyped names times that of defined ones.
const maxComparedNames = 100_000

// suggest returns what suggest does for the names of the blocks of a keyword, or "" when too many have been compared.
func (r *reporter) suggest(name string, symbols *symbolTable, keyword string) string {
	r.compared += symbols.count(keyword)
	if r.compared > maxComparedNames {
		return ""
	}
	return suggest(name, symbols.names(keyword))
}

// add records faults, including those that don't belong to a block that could be read.
func (r *reporter) add(faults ...syntax.Fault) { r.faults = append(r.faults, faults...) }

// fault records a fault at a position within a block.
func (r *reporter) fault(b *block, pos syntax.Pos, format string, args ...any) {
	r.add(b.source.FaultAt(pos, format, args...))
}

// faultAtSetting records a fault at the first value of a setting, which must have a value.
func (r *reporter) faultAtSetting(b *block, setting, format string, args ...any) {
	r.fault(b, b.value(setting).pos, format, args...)
}

// note records something that is allowed but may be unintended.
func (r *reporter) note(b *block, pos syntax.Pos, format string, args ...any) {
	r.notes = append(r.notes, b.source.FaultAt(pos, format, args...))
}

// sort orders faults and notes by position, and removes duplicates.
func (r *reporter) sort() {
	r.faults.Sort()
	r.notes.Sort()
}
