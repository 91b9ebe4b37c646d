package lang

import (
	"strings"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// The keywords of the blocks that are allowed at the top level of a file.
const (
	workerKeyword = "worker"
	classKeyword  = "class"
	routeKeyword  = string(route.RouteBlock)
	poolKeyword   = string(route.PoolBlock)
	policyKeyword = string(route.PolicyBlock)
)

// blockTypes lists the blocks that are allowed at the top level of a file, in the order in which they are checked. To
// add a block type, add it here and to newChecker, and implement it in a file of its own.
var blockTypes = []*blockType{workerType, classType, routeType, poolType, policyType}

// blockType describes a type of block: its keyword, and the settings and blocks that it may contain.
type blockType struct {
	keyword    string
	named      bool // the block has a name, unique among the blocks of its type
	settings   map[string]settingType
	anySetting bool         // settings of any name are allowed; each is a list of strings
	nested     []*blockType // types of the blocks that may be nested in it
}

// settingType returns how the values of a setting are read; ok is false if the block has no such setting.
func (t *blockType) settingType(name string) (setting settingType, ok bool) {
	if t.anySetting {
		return listOf(readText), true
	}
	setting, ok = t.settings[name]
	return setting, ok
}

// settingType describes how the values of a setting are read.
type settingType struct {
	read valueReader
	list bool // takes one or more values
}

// single returns the type of a setting that takes exactly one value.
func single(read valueReader) settingType { return settingType{read: read} }

// listOf returns the type of a setting that takes one or more values.
func listOf(read valueReader) settingType { return settingType{read: read, list: true} }

// block is a block whose settings have been read.
type block struct {
	blockType *blockType
	pos       syntax.Pos
	source    *syntax.Source
	name      string
	settings  settingList
	nested    []*block
}

// values returns the valid values of a setting.
func (b *block) values(setting string) []value {
	if s := b.settings.find(setting); s != nil {
		return s.values
	}
	return nil
}

// position returns the position of a setting, which is not valid if the setting is not present.
func (b *block) position(setting string) syntax.Pos {
	if s := b.settings.find(setting); s != nil {
		return s.pos
	}
	return syntax.Pos{}
}

// hasValue reports whether a setting is present and has a valid value.
func (b *block) hasValue(setting string) bool { return len(b.values(setting)) > 0 }

// isPresent reports whether a setting is present, even if its value is invalid.
func (b *block) isPresent(setting string) bool { return b.settings.find(setting) != nil }

// value returns the first value of a setting, or the zero value if it has none.
func (b *block) value(setting string) value {
	values := b.values(setting)
	if len(values) == 0 {
		return value{}
	}
	return values[0]
}

// texts returns the values of a setting that takes a list of strings or words.
func (b *block) texts(setting string) []string {
	var texts []string
	for _, v := range b.values(setting) {
		texts = append(texts, v.text)
	}
	return texts
}

// fileLine formats a position as file:line, without the column.
func fileLine(pos syntax.Pos) string {
	text := pos.String()
	return text[:strings.LastIndexByte(text, ':')]
}
