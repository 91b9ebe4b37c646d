package lang

import (
	"maps"
	"slices"

	"crankhold/internal/lang/syntax"
)

// includeKeyword begins an include, which stands beside the blocks of a file.
const includeKeyword = "include"

// findBlockType returns the type with a keyword, or nil and the keywords that there are.
func findBlockType(types []*blockType, keyword string) (found *blockType, keywords []string) {
	for _, t := range types {
		if t.keyword == keyword {
			return t, nil
		}
		keywords = append(keywords, t.keyword)
	}
	return nil, keywords
}

// buildBlock reads a block at the top of a file and has its type build its part of the Spec.
func (c *checker) buildBlock(syntaxBlock *syntax.Block) {
	source := c.sources[syntaxBlock.At.File]
	t, keywords := findBlockType(blockTypes, syntaxBlock.Keyword)
	if t == nil {
		suggestion := suggest(syntaxBlock.Keyword, append(keywords, includeKeyword))
		c.result.Faults = append(c.result.Faults, source.FaultAt(syntaxBlock.At, "unknown block %s%s", syntaxBlock.Keyword, suggestion))
		return
	}
	b := c.readBlock(syntaxBlock, t, source)
	if b == nil {
		return
	}
	c.define(b)
	t.build(c, b)
}

// readBlock reads a block's name, settings and blocks. It returns nil for a block that lacks its name.
func (c *checker) readBlock(syntaxBlock *syntax.Block, t *blockType, source *syntax.Source) *block {
	b := &block{
		blockType: t,
		pos:       syntaxBlock.At,
		source:    source,
		values:    map[string][]value{},
		positions: map[string]syntax.Pos{},
	}
	if !c.readName(b, syntaxBlock) {
		return nil
	}
	for _, entry := range syntaxBlock.Entries {
		switch entry := entry.(type) {
		case *syntax.Setting:
			c.readSetting(b, entry)
		case *syntax.Block:
			c.readNestedBlock(b, entry)
		}
	}
	return b
}

// readName reads a block's name and reports whether the block is usable.
func (c *checker) readName(b *block, syntaxBlock *syntax.Block) bool {
	t := b.blockType
	label := syntaxBlock.Label
	if !t.named {
		if label != nil {
			c.fault(b, label.At, "%s takes no name", t.keyword)
		}
		return true
	}
	if label == nil {
		c.fault(b, b.pos, "a %s needs a name: %s \"...\" {", t.keyword, t.keyword)
		return false
	}
	v, err := readText(*label)
	if err != nil {
		c.fault(b, label.At, "the name of a %s %v", t.keyword, err)
		return false
	}
	b.name = v.text
	return true
}

// readSetting reads a setting's values. Those that can't be read are left out.
func (c *checker) readSetting(b *block, setting *syntax.Setting) {
	t, ok := b.blockType.settings[setting.Name]
	if b.blockType.anySetting {
		t, ok = listOf(readText), true
	}
	if !ok {
		suggestion := suggest(setting.Name, slices.Sorted(maps.Keys(b.blockType.settings)))
		c.fault(b, setting.At, "unknown setting %s in %s%s", setting.Name, b.blockType.keyword, suggestion)
		return
	}
	if first, ok := b.positions[setting.Name]; ok {
		c.fault(b, setting.At, "%s is given twice, first at %v", setting.Name, first)
		return
	}
	b.positions[setting.Name] = setting.At
	if len(setting.Values) > 1 && !t.list {
		c.fault(b, setting.Values[1].At, "%s takes one value", setting.Name)
		return
	}
	seen := map[string]bool{}
	for _, raw := range setting.Values {
		v, err := t.read(raw)
		switch {
		case err != nil:
			c.fault(b, raw.At, "%s %v", setting.Name, err)
		case seen[raw.Text()]:
			c.fault(b, raw.At, "%s has %s twice", setting.Name, raw.Raw)
		default:
			b.values[setting.Name] = append(b.values[setting.Name], v)
		}
		seen[raw.Text()] = true
	}
}

// readNestedBlock reads a block within a block.
func (c *checker) readNestedBlock(b *block, syntaxBlock *syntax.Block) {
	t, keywords := findBlockType(b.blockType.blocks, syntaxBlock.Keyword)
	if t == nil {
		c.fault(b, syntaxBlock.At, "unknown block %s in %s%s", syntaxBlock.Keyword, b.blockType.keyword, suggest(syntaxBlock.Keyword, keywords))
		return
	}
	nested := c.readBlock(syntaxBlock, t, b.source)
	if nested != nil {
		b.blocks = append(b.blocks, nested)
	}
}
