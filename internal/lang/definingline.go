package lang

import (
	"maps"
	"slices"
	"strings"

	"crankhold/internal/lang/syntax"
)

// definitionLines has the lines that define each named block, as Result.Lines returns them: each is a fault without a
// message.
type definitionLines map[blockID][]syntax.Fault

// addBlock adds the first line of a block and those of its settings, sorted by the settings' names.
func (l definitionLines) addBlock(b *block) {
	id := blockID{b.blockType.keyword, b.name}
	l.add(id, b, b.pos)
	for _, setting := range slices.Sorted(maps.Keys(b.positions)) {
		l.add(id, b, b.positions[setting])
	}
}

// add adds the line at a position within a block to those of the block with an id, which may be another one.
func (l definitionLines) add(id blockID, source *block, pos syntax.Pos) {
	line := source.source.FaultAt(pos, "")
	line.Line = strings.TrimSpace(line.Line)
	l[id] = append(l[id], line)
}
