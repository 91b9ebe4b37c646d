package lang

import (
	"maps"
	"slices"
	"strings"

	"crankhold/internal/lang/syntax"
)

// define records a block under its name, which is its own among the blocks of its type.
func (c *checker) define(b *block) {
	if !b.blockType.named {
		return
	}
	keyword := b.blockType.keyword
	blocks := c.blocks[keyword]
	if blocks == nil {
		blocks = map[string]*block{}
		c.blocks[keyword] = blocks
	}
	if first := blocks[b.name]; first != nil {
		c.report.fault(b, b.pos, "%s %q is defined twice, first at %v", keyword, b.name, first.pos)
		return
	}
	blocks[b.name] = b
	id := blockID{keyword, b.name}
	c.recordLine(id, b, b.pos)
	for _, setting := range slices.Sorted(maps.Keys(b.positions)) {
		c.recordLine(id, b, b.positions[setting])
	}
}

// definition returns the block that is defined under a name, or nil where that is not the block at this file:line but
// an earlier one of the same name.
func (c *checker) definition(keyword, name, at string) *block {
	b := c.blocks[keyword][name]
	if fileLine(b.pos) != at {
		return nil
	}
	return b
}

// recordLine records a line as one that says something of a block; see Result.Lines.
func (c *checker) recordLine(id blockID, b *block, pos syntax.Pos) {
	line := b.source.FaultAt(pos, "")
	line.Line = strings.TrimSpace(line.Line)
	c.result.lines[id] = append(c.result.lines[id], line)
}

// resolveReference records that a setting, if it is present, refers to a block by its name, and reports whether there
// is such a block.
func (c *checker) resolveReference(b *block, setting, keyword string) bool {
	if !b.hasValue(setting) {
		c.unresolved[keyword] = c.unresolved[keyword] || b.isPresent(setting)
		return false
	}
	v := b.value(setting)
	c.referenced[blockID{keyword, v.text}] = true
	if c.blocks[keyword][v.text] != nil {
		return true
	}
	c.unresolved[keyword] = true
	if c.complete {
		suggestion := suggest(v.text, slices.Sorted(maps.Keys(c.blocks[keyword])))
		c.report.fault(b, v.pos, "no %s %q%s", keyword, v.text, suggestion)
	}
	return false
}

// reportUnused reports blocks that no other block refers to. It reports none where some reference is not defined: the
// unused block may be the one that was meant.
func (c *checker) reportUnused(keyword, referrers string) {
	if !c.complete || c.unresolved[keyword] {
		return
	}
	for name, b := range c.blocks[keyword] {
		if !c.referenced[blockID{keyword, name}] {
			c.report.fault(b, b.pos, "%s %q is not used by any %s", keyword, name, referrers)
		}
	}
}
