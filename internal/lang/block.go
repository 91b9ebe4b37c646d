package lang

import (
	"strings"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// The keywords of the blocks that a file may hold.
const (
	workerKeyword = "worker"
	classKeyword  = "class"
	routeKeyword  = string(route.RouteBlock)
	poolKeyword   = string(route.PoolBlock)
	policyKeyword = string(route.PolicyBlock)
)

// blockTypes are the blocks that a file may hold at its top level, in the order in which they are checked. A further
// one is added here and to newChecker, with a file of its own.
var blockTypes = []*blockType{workerType, classType, routeType, poolType, policyType}

// blockType describes a kind of block: its keyword, and what it may hold.
type blockType struct {
	keyword    string
	named      bool // the block has a name, which is its own among the blocks of its type
	settings   map[string]settingType
	anySetting bool         // settings of any name are lists of strings
	nested     []*blockType // of the blocks within it
}

// settingType returns how a setting's values are read; ok is false where the block has no such setting.
func (t *blockType) settingType(name string) (setting settingType, ok bool) {
	if t.anySetting {
		return listOf(readText), true
	}
	setting, ok = t.settings[name]
	return setting, ok
}

// settingType says how the values of a setting are read.
type settingType struct {
	read valueReader
	list bool // takes more than one value
}

// single is a setting that takes one value.
func single(read valueReader) settingType { return settingType{read: read} }

// listOf is a setting that takes one value or more.
func listOf(read valueReader) settingType { return settingType{read: read, list: true} }

// block is a block whose settings have been read. Settings whose values can't be read have a position and no value.
type block struct {
	blockType *blockType
	pos       syntax.Pos
	source    *syntax.Source
	name      string
	values    map[string][]value    // by setting
	positions map[string]syntax.Pos // of the settings that are present
	nested    []*block
}

// hasValue reports whether a setting is present and its value could be read.
func (b *block) hasValue(setting string) bool { return len(b.values[setting]) > 0 }

// isPresent reports whether a setting is present, whether its value could be read or not.
func (b *block) isPresent(setting string) bool { return b.positions[setting].Valid() }

// value returns a setting's value, or the zero value where it has none.
func (b *block) value(setting string) value {
	if !b.hasValue(setting) {
		return value{}
	}
	return b.values[setting][0]
}

// texts returns the values of a list of strings or words.
func (b *block) texts(setting string) []string {
	var texts []string
	for _, v := range b.values[setting] {
		texts = append(texts, v.text)
	}
	return texts
}

// fileLine returns a position as file:line.
func fileLine(pos syntax.Pos) string {
	text := pos.String()
	return text[:strings.LastIndexByte(text, ':')]
}
