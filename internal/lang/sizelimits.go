package lang

import (
	"fmt"

	"crankhold/internal/lang/syntax"
)

// sizeLimits bounds what all files of a configuration have together. While they are checked, all of it is in memory.
type sizeLimits struct {
	maxBytes  int // 0: no limit
	maxBlocks int // with those within blocks; 0: no limit
	bytes     int // read so far
	blocks    int
}

// addBytes counts the bytes of a file. If they are too many, it returns a fault at the file's beginning.
func (s *sizeLimits) addBytes(name string, count int) (fault syntax.Fault, ok bool) {
	s.bytes += count
	if s.maxBytes == 0 || s.bytes <= s.maxBytes {
		return syntax.Fault{}, true
	}
	return syntax.Fault{
		Pos: syntax.Pos{File: name, Line: 1, Col: 1},
		Msg: fmt.Sprintf("with this file the routes are larger than %d KB, which is the most for this router's "+
			"memory; the rest was not read", s.maxBytes>>10),
	}, false
}

// addBlocks counts the blocks among entries. If they are too many, it returns a fault at the first one beyond the
// limit.
func (s *sizeLimits) addBlocks(entries []syntax.Entry) (fault syntax.Fault, ok bool) {
	for _, entry := range entries {
		block, isBlock := entry.(*syntax.Block)
		if !isBlock {
			continue
		}
		s.blocks++
		if s.maxBlocks > 0 && s.blocks > s.maxBlocks {
			return syntax.Fault{Pos: block.At, Msg: fmt.Sprintf("with this block the routes have more than %d blocks, "+
				"which is the most for this router's memory; the rest was not read", s.maxBlocks)}, false
		}
		if fault, ok := s.addBlocks(block.Entries); !ok {
			return fault, false
		}
	}
	return syntax.Fault{}, true
}
