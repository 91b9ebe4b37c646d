package lang

// referenceResolver resolves references between blocks, which refer to each other by name, and records which names are
// referenced.
type referenceResolver struct {
	report     *reporter
	symbols    *symbolTable
	referenced map[blockID]bool // includes names that are not defined
	unresolved map[string]bool  // keywords for which at least one reference is undefined or invalid
}

func newReferenceResolver(report *reporter, symbols *symbolTable) *referenceResolver {
	return &referenceResolver{
		report:     report,
		symbols:    symbols,
		referenced: map[blockID]bool{},
		unresolved: map[string]bool{},
	}
}

// resolve resolves a setting that refers by name to a block with the given keyword. It returns true if the setting is
// present and the block exists. A missing block is a fault, unless a file that could not be read may define it.
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
		r.report.faultAtSetting(b, setting, "no %s %q%s", keyword, name, r.report.suggest(name, r.symbols, keyword))
	}
	return false
}

// reportUnused reports blocks that no other block refers to; referrers names the kinds of blocks that could refer to
// them. It reports nothing if a reference could not be resolved, because that reference may be meant for the unused
// block.
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
