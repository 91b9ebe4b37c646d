package lang

// blockBuilder builds the part of the route.Spec that the blocks of one keyword describe. Each builder owns its part.
type blockBuilder interface {
	// build adds a block. Blocks of other keywords may not have been built yet.
	build(b *block)
	// check checks the blocks against each other and against the blocks of other keywords. It is called once all blocks
	// have been built.
	check()
}

// builderContext holds what all builders share.
type builderContext struct {
	report     *reporter
	symbols    *symbolTable
	references *referenceResolver
	platform   *Platform // nil: unknown
}
