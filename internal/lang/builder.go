package lang

// blockBuilder builds what the blocks of one keyword say into a part of the route.Spec, which it owns.
type blockBuilder interface {
	// build adds a block. Blocks of other keywords may be missing still.
	build(b *block)
	// check checks the blocks against each other and against those of other keywords, once all blocks are built.
	check()
}

// builderContext is what the builders of all keywords share.
type builderContext struct {
	report     *reporter
	symbols    *symbolTable
	references *referenceResolver
	platform   *Platform // nil: not known
}
