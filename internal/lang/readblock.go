package lang

import (
	"maps"
	"slices"

	"crankhold/internal/lang/syntax"
)

// includeKeyword begins an include, which stands beside the blocks of a file.
const includeKeyword = "include"

// blockReader reads the values of blocks as the types of the blocks require. It reports what does not fit a type, and
// leaves it out.
type blockReader struct {
	report  *reporter
	sources map[string]*syntax.Source // by file
}

// read reads a block at the top level of a file. It returns nil where its keyword is unknown or its name is missing.
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

// readAs reads a block of a type. It returns nil for a block that lacks its name.
func (r *blockReader) readAs(t *blockType, syntaxBlock *syntax.Block, source *syntax.Source) *block {
	b := &block{
		blockType: t,
		pos:       syntaxBlock.At,
		source:    source,
		values:    map[string][]value{},
		positions: map[string]syntax.Pos{},
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

// readName reads a block's name, nil for none, and reports whether the block is usable.
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

// readSetting reads a setting's values.
func (r *blockReader) readSetting(b *block, setting *syntax.Setting) {
	t, ok := b.blockType.settingType(setting.Name)
	if !ok {
		suggestion := suggest(setting.Name, slices.Sorted(maps.Keys(b.blockType.settings)))
		r.report.fault(b, setting.At, "unknown setting %s in %s%s", setting.Name, b.blockType.keyword, suggestion)
		return
	}
	if first, ok := b.positions[setting.Name]; ok {
		r.report.fault(b, setting.At, "%s is given twice, first at %v", setting.Name, first)
		return
	}
	b.positions[setting.Name] = setting.At
	if len(setting.Values) > 1 && !t.list {
		r.report.fault(b, setting.Values[1].At, "%s takes one value", setting.Name)
		return
	}
	r.readValues(b, setting, t.read)
}

// readValues reads each value of a setting. It leaves out those that can't be read and those that are repeated.
func (r *blockReader) readValues(b *block, setting *syntax.Setting, read valueReader) {
	seen := map[string]bool{}
	for _, raw := range setting.Values {
		v, err := read(raw)
		switch {
		case err != nil:
			r.report.fault(b, raw.At, "%s %v", setting.Name, err)
		case seen[raw.Text()]:
			r.report.fault(b, raw.At, "%s has %s twice", setting.Name, raw.Raw)
		default:
			b.values[setting.Name] = append(b.values[setting.Name], v)
		}
		seen[raw.Text()] = true
	}
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
