package lang

import (
	"maps"
	"slices"

	"crankhold/internal/lang/syntax"
)

// includeKeyword is the keyword of an include. Like the keywords of blocks, it is suggested in place of an unknown
// keyword.
const includeKeyword = "include"

// blockReader reads the settings of blocks according to the types of the blocks. It reports and leaves out what does
// not fit a type.
type blockReader struct {
	report  *reporter
	sources map[string]*syntax.Source // by file
}

// read reads a block at the top level of a file. It returns nil if the keyword is unknown, or if the name is missing or
// invalid.
func (r *blockReader) read(syntaxBlock *syntax.Block) *block {
	source := r.sources[syntaxBlock.At.File]
	t, keywords := findBlockType(blockTypes, syntaxBlock.Keyword)
	if t == nil {
		suggestion := suggest(syntaxBlock.Keyword, append(keywords, includeKeyword))
		r.report.add(source.FaultAt(syntaxBlock.At, "unknown block %s%s", syntaxBlock.Keyword, suggestion))
		return nil
	}
	return r.readAs(t, syntaxBlock, source)
}

// readAs reads a block of the given type. It returns nil if the block needs a name and its name is missing or invalid.
func (r *blockReader) readAs(t *blockType, syntaxBlock *syntax.Block, source *syntax.Source) *block {
	b := &block{
		blockType: t,
		pos:       syntaxBlock.At,
		source:    source,
	}
	if !r.readName(b, syntaxBlock.Label) {
		return nil
	}
	for _, entry := range syntaxBlock.Entries {
		switch entry := entry.(type) {
		case *syntax.Setting:
			r.readSetting(b, entry)
		case *syntax.Block:
			r.readNested(b, entry)
		}
	}
	return b
}

// readName reads the name of a block from its label, which is nil if there is none. It returns false if the block needs
// a name and its name is missing or invalid.
func (r *blockReader) readName(b *block, label *syntax.Value) bool {
	keyword := b.blockType.keyword
	if !b.blockType.named {
		if label != nil {
			r.report.fault(b, label.At, "%s takes no name", keyword)
		}
		return true
	}
	if label == nil {
		r.report.fault(b, b.pos, "a %s needs a name: %s \"...\" {", keyword, keyword)
		return false
	}
	v, err := readText(*label)
	if err != nil {
		r.report.fault(b, label.At, "the name of a %s %v", keyword, err)
		return false
	}
	b.name = v.text
	return true
}

// readSetting reads the values of a setting. It reports a setting that is unknown or given twice.
func (r *blockReader) readSetting(b *block, setting *syntax.Setting) {
	t, ok := b.blockType.settingType(setting.Name)
	if !ok {
		suggestion := suggest(setting.Name, slices.Sorted(maps.Keys(b.blockType.settings)))
		r.report.fault(b, setting.At, "unknown setting %s in %s%s", setting.Name, b.blockType.keyword, suggestion)
		return
	}
	if b.isPresent(setting.Name) {
		r.report.fault(b, setting.At, "%s is given twice, first at %v", setting.Name, b.position(setting.Name))
		return
	}
	added := b.settings.add(setting.Name, setting.At)
	if len(setting.Values) > 1 && !t.list {
		r.report.fault(b, setting.Values[1].At, "%s takes one value", setting.Name)
		return
	}
	added.values = r.readValues(b, setting, t.read)
}

// readValues reads each value of a setting. It reports and leaves out invalid and repeated values.
func (r *blockReader) readValues(b *block, setting *syntax.Setting, read valueReader) (values []value) {
	seen := map[string]bool{}
	for _, raw := range setting.Values {
		v, err := read(raw)
		switch {
		case err != nil:
			r.report.fault(b, raw.At, "%s %v", setting.Name, err)
		case seen[raw.Text()]:
			r.report.fault(b, raw.At, "%s has %s twice", setting.Name, raw.Raw)
		default:
			values = append(values, v)
		}
		seen[raw.Text()] = true
	}
	return values
}

// readNested reads a block within a block.
func (r *blockReader) readNested(b *block, syntaxBlock *syntax.Block) {
	t, keywords := findBlockType(b.blockType.nested, syntaxBlock.Keyword)
	if t == nil {
		suggestion := suggest(syntaxBlock.Keyword, keywords)
		r.report.fault(b, syntaxBlock.At, "unknown block %s in %s%s",
			syntaxBlock.Keyword, b.blockType.keyword, suggestion)
		return
	}
	if nested := r.readAs(t, syntaxBlock, b.source); nested != nil {
		b.nested = append(b.nested, nested)
	}
}

// findBlockType returns the type with the given keyword. If there is none, it returns nil and the keywords of all
// types.
func findBlockType(types []*blockType, keyword string) (found *blockType, keywords []string) {
	for _, t := range types {
		if t.keyword == keyword {
			return t, nil
		}
		keywords = append(keywords, t.keyword)
	}
	return nil, keywords
}
