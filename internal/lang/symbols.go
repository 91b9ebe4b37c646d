package lang

import (
	"maps"
	"slices"
)

// blockID identifies a block that has a name.
type blockID struct{ keyword, name string }

// symbolTable contains the named blocks of all files. A name is unique among the blocks of a keyword: the first block
// with the name defines it.
type symbolTable struct {
	complete bool                         // all files were read without a fault, so any other name is undefined
	blocks   map[string]map[string]*block // by keyword and name
}

func newSymbolTable(complete bool) *symbolTable {
	return &symbolTable{complete: complete, blocks: map[string]map[string]*block{}}
}

// define registers a named block. It returns nil, or the earlier block that already defines the name.
func (s *symbolTable) define(b *block) (first *block) {
	keyword := b.blockType.keyword
	if first := s.find(keyword, b.name); first != nil {
		return first
	}
	if s.blocks[keyword] == nil {
		s.blocks[keyword] = map[string]*block{}
	}
	s.blocks[keyword][b.name] = b
	return nil
}

// find returns the block that defines a name, or nil.
func (s *symbolTable) find(keyword, name string) *block { return s.blocks[keyword][name] }

// isDefinition reports whether the block defines its name, and does not repeat the name of an earlier block.
func (s *symbolTable) isDefinition(b *block) bool { return s.find(b.blockType.keyword, b.name) == b }

// names returns the names that the blocks of a keyword define, in sorted order.
func (s *symbolTable) names(keyword string) []string {
	return slices.Sorted(maps.Keys(s.blocks[keyword]))
}

// definitions returns the blocks of a keyword that define a name, sorted by name.
func (s *symbolTable) definitions(keyword string) []*block {
	var blocks []*block
	for _, name := range s.names(keyword) {
		blocks = append(blocks, s.find(keyword, name))
	}
	return blocks
}
