package lang

import (
	"slices"
	"strings"

	"crankhold/internal/lang/syntax"
)

// definitionLines maps each named block to the lines that define it, in the form that Result.DefinitionLines returns:
// each line is a fault without a message.
type definitionLines map[blockID][]syntax.Fault

// addBlock adds the first line of a block and the lines of its settings, sorted by setting name.
func (l definitionLines) addBlock(b *block) {
	id := blockID{b.blockType.keyword, b.name}
	l.add(id, b, b.pos)
	settings := slices.Clone(b.settings.list)
	slices.SortFunc(settings, func(x, y *setting) int { return strings.Compare(x.name, y.name) })
	for _, s := range settings {
		l.add(id, b, s.pos)
	}
}

// add adds the line at a position in the block source to the lines of the block id. The two blocks differ if a policy
// inherits the setting on that line from another policy.
func (l definitionLines) add(id blockID, source *block, pos syntax.Pos) {
	line := source.source.FaultAt(pos, "")
	line.Line = strings.TrimSpace(line.Line)
	l[id] = append(l[id], line)
}
