package lang

// referenceResolver resolves the names by which blocks refer to each other, and keeps which names are referred to.
type referenceResolver struct {
	report     *reporter
	symbols    *symbolTable
	referenced map[blockID]bool // defined or not
	unresolved map[string]bool  // keywords of which a reference is not defined, or can't be read
}

func newReferenceResolver(report *reporter, symbols *symbolTable) *referenceResolver {
	return &referenceResolver{
		report:     report,
		symbols:    symbols,
		referenced: map[blockID]bool{},
		unresolved: map[string]bool{},
	}
}

// resolve records that a setting, if it is present, refers to a block with a keyword by its name, and reports whether
// there is such a block. It reports a fault where there is none, unless a file that could not be read may define it.
func (r *referenceResolver) resolve(b *block, setting, keyword string) bool {
	if !b.hasValue(setting) {
		r.unresolved[keyword] = r.unresolved[keyword] || b.isPresent(setting)
		return false
	}
	name := b.value(setting).text
	r.referenced[blockID{keyword, name}] = true
	if r.symbols.find(keyword, name) != nil {
		return true
	}
	r.unresolved[keyword] = true
	if r.symbols.complete {
		r.report.faultAtSetting(b, setting, "no %s %q%s", keyword, name, suggest(name, r.symbols.names(keyword)))
	}
	return false
}

// reportUnused reports blocks that no other block refers to; referrers names what could. It reports none where some
// reference could not be resolved: the unused block may be the one that was meant.
func (r *referenceResolver) reportUnused(keyword, referrers string) {
	if !r.symbols.complete || r.unresolved[keyword] {
		return
	}
	for _, b := range r.symbols.definitions(keyword) {
		if !r.referenced[blockID{keyword, b.name}] {
			r.report.fault(b, b.pos, "%s %q is not used by any %s", keyword, b.name, referrers)
		}
	}
}
