package lang

import (
	"slices"
	"strings"

	"crankhold/internal/endpoint"
)

// blockID identifies a block that has a name.
type blockID struct{ keyword, name string }

// symbolTable contains the named blocks of all files. A name is unique among the blocks of a keyword: the first block
// with the name defines it.
type symbolTable struct {
	complete bool                         // all files were read without a fault, so any other name is undefined
	blocks   map[string]map[string]*block // by keyword and symbolKey
}

// symbolKey returns a text that is equal for names of one block. Names of workers are compared as DNS compares them.
func symbolKey(keyword, name string) string {
	if keyword == workerKeyword {
		return string(endpoint.KeyOf(name))
	}
	return name
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
	s.blocks[keyword][symbolKey(keyword, b.name)] = b
	return nil
}

// find returns the block that defines a name, or nil.
func (s *symbolTable) find(keyword, name string) *block {
	return s.blocks[keyword][symbolKey(keyword, name)]
}

// count returns how many names the blocks of a keyword define.
func (s *symbolTable) count(keyword string) int { return len(s.blocks[keyword]) }

// isDefinition reports whether the block defines its name, and does not repeat the name of an earlier block.
func (s *symbolTable) isDefinition(b *block) bool { return s.find(b.blockType.keyword, b.name) == b }

// names returns the names that the blocks of a keyword define, in sorted order.
func (s *symbolTable) names(keyword string) []string {
	var names []string
	for _, b := range s.definitions(keyword) {
		names = append(names, b.name)
	}
	return names
}

// definitions returns the blocks of a keyword that define a name, sorted by name.
func (s *symbolTable) definitions(keyword string) []*block {
	var blocks []*block
	for _, b := range s.blocks[keyword] {
		blocks = append(blocks, b)
	}
	slices.SortFunc(blocks, func(a, b *block) int { return strings.Compare(a.name, b.name) })
	return blocks
}
