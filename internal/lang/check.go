package lang

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"crankhold/internal/lang/syntax"
	"crankhold/internal/route"
)

// Class is a class of calls.
type Class struct {
	Name             string
	NotIdempotent    bool          // must never run twice
	Deadline         time.Duration // 0: not known
	LatencyObjective time.Duration // 0: not known
}

// neverIdempotentClass is the class that must never run twice whatever a file or the settings say.
const neverIdempotentClass = "repair-order"

// Platform is what the platform's settings say that a configuration may not contradict.
type Platform struct {
	Classes        []Class
	MaxAttempts    int // 0: no limit
	HedgingAllowed bool
	Kinds          []string
	KindMemoryMB   map[string]float64
	Zones          []string
	LoadWindow     time.Duration
}

// Result is what became of a configuration.
type Result struct {
	Spec            route.Spec
	Faults          syntax.Faults // any of them makes the configuration unusable
	Notes           syntax.Faults // what is allowed and may not be meant
	Files           []string      // that were read
	lines           map[string][]syntax.Fault
	classes         []Class // classes of the platform or of the files' own class blocks
	classesComplete bool    // there are no further ones
}

// Check reads a file and all that it includes, and checks them; platform may be nil. An error is of the
// first file alone: it can't be read at all.
func Check(fsys fs.FS, name, prefix string, platform *Platform) (*Result, error) {
	l := &loader{fsys: fsys, prefix: prefix, sources: map[string]*syntax.Source{}, includeChains: map[string][]string{}}
	if err := l.load(name, nil); err != nil {
		return nil, fmt.Errorf("%s: %w", path.Join(prefix, name), pathErrorReason(err))
	}
	c := &checker{sources: l.sources, platform: platform, result: &Result{Faults: l.faults, lines: map[string][]syntax.Fault{}},
		blocks: map[string]map[string]*block{}, referenced: map[string]map[string]bool{}, unresolved: map[string]bool{}, complete: len(l.faults) == 0}
	for _, f := range l.files {
		c.result.Files = append(c.result.Files, f.Name)
		for _, e := range f.Entries {
			if b, ok := e.(*syntax.Block); ok {
				c.buildBlock(b)
			}
		}
	}
	for _, k := range blockTypes {
		if k.check != nil {
			k.check(c)
		}
	}
	if len(c.result.Faults) == 0 {
		c.checkTable()
	}
	c.result.Faults.Sort()
	c.result.Notes.Sort()
	return c.result, nil
}

// kinds are the blocks that a file may hold. A further one is added here, with a file of its own.
var blockTypes = []*blockType{workerType, classType, routeType, poolType, policyType}

// blockType says what a blockType of block is called, what it holds, and what is made of it.
type blockType struct {
	keyword    string
	named      bool
	settings   map[string]settingType
	blocks     []*blockType
	anySetting bool // settings of any name take strings
	build      func(*checker, *block)
	check      func(*checker) // once all blocks are built
}

type settingType struct {
	read valueReader
	list bool
}

// block is a block whose settings have been read.
type block struct {
	pos       syntax.Pos
	source    *syntax.Source
	name      string
	values    map[string][]value
	positions map[string]syntax.Pos
	blocks    []*block
	blockType *blockType
}

// hasValue tells whether a setting is given.
func (b *block) hasValue(name string) bool { return len(b.values[name]) > 0 }

// isPresent tells whether a setting is there, its value read or not.
func (b *block) isPresent(name string) bool { return b.positions[name].Valid() }

// value returns a setting's value; the zero value where it isn't given.
func (b *block) value(name string) value {
	if !b.hasValue(name) {
		return value{}
	}
	return b.values[name][0]
}

// texts returns a list of strings or words.
func (b *block) texts(name string) (list []string) {
	for _, v := range b.values[name] {
		list = append(list, v.text)
	}
	return list
}

type checker struct {
	sources     map[string]*syntax.Source
	platform    *Platform
	result      *Result
	blocks      map[string]map[string]*block // by kind
	referenced  map[string]map[string]bool
	unresolved  map[string]bool // kinds that something names which is not there, or can't be read
	complete    bool            // all files were read without a fault: what is missing is missing
	policies    map[string]*policyBlock
	policyOrder []*policyBlock
}

func (c *checker) fault(b *block, at syntax.Pos, format string, args ...any) {
	c.result.Faults = append(c.result.Faults, b.source.Fault(at, format, args...))
}

func (c *checker) note(b *block, at syntax.Pos, format string, args ...any) {
	c.result.Notes = append(c.result.Notes, b.source.Fault(at, format, args...))
}

// buildBlock reads a buildBlock at the top of a file, and has its kind make something of it.
func (c *checker) buildBlock(b *syntax.Block) {
	src := c.sources[b.At.File]
	var words []string
	for _, k := range blockTypes {
		if k.keyword == b.Word {
			if r := c.readBlock(b, k, src); r != nil {
				c.define(r)
				k.build(c, r)
			}
			return
		}
		words = append(words, k.keyword)
	}
	c.result.Faults = append(c.result.Faults, src.Fault(b.At, "unknown block %s%s", b.Word, suggest(b.Word, append(words, "include"))))
}

// readBlock reads a block's label, settings and blocks. It returns nil for one without its name.
func (c *checker) readBlock(b *syntax.Block, k *blockType, src *syntax.Source) *block {
	r := &block{pos: b.At, source: src, blockType: k, values: map[string][]value{}, positions: map[string]syntax.Pos{}}
	switch {
	case k.named && b.Label == nil:
		c.fault(r, b.At, "a %s needs a name: %s \"...\" {", k.keyword, k.keyword)
		return nil
	case !k.named && b.Label != nil:
		c.fault(r, b.Label.At, "%s takes no name", k.keyword)
	case k.named:
		v, wrong := readText(*b.Label)
		if wrong != "" {
			c.fault(r, b.Label.At, "the name of a %s %s", k.keyword, wrong)
			return nil
		}
		r.name = v.text
	}
	for _, e := range b.Entries {
		switch e := e.(type) {
		case *syntax.Setting:
			c.readSetting(r, e)
		case *syntax.Block:
			c.readNestedBlock(r, e)
		}
	}
	return r
}

func (c *checker) readSetting(r *block, e *syntax.Setting) {
	s, ok := r.blockType.settings[e.Name]
	if r.blockType.anySetting {
		s, ok = settingType{readText, true}, true
	}
	if !ok {
		c.fault(r, e.At, "unknown setting %s in %s%s", e.Name, r.blockType.keyword, suggest(e.Name, slices.Sorted(maps.Keys(r.blockType.settings))))
		return
	}
	if first, again := r.positions[e.Name]; again {
		c.fault(r, e.At, "%s is given twice, first at %v", e.Name, first)
		return
	}
	r.positions[e.Name] = e.At
	if len(e.Values) > 1 && !s.list {
		c.fault(r, e.Values[1].At, "%s takes one value", e.Name)
		return
	}
	seen := map[string]bool{}
	for _, raw := range e.Values {
		v, wrong := s.read(raw)
		switch {
		case wrong != "":
			c.fault(r, raw.At, "%s %s", e.Name, wrong)
		case seen[raw.Text()]:
			c.fault(r, raw.At, "%s has %s twice", e.Name, raw.Raw)
		default:
			r.values[e.Name] = append(r.values[e.Name], v)
		}
		seen[raw.Text()] = true
	}
}

func (c *checker) readNestedBlock(r *block, e *syntax.Block) {
	var words []string
	for _, k := range r.blockType.blocks {
		if k.keyword == e.Word {
			if in := c.readBlock(e, k, r.source); in != nil {
				r.blocks = append(r.blocks, in)
			}
			return
		}
		words = append(words, k.keyword)
	}
	c.fault(r, e.At, "unknown block %s in %s%s", e.Word, r.blockType.keyword, suggest(e.Word, words))
}

// define notes a block's define, which is its own among its kind.
func (c *checker) define(b *block) {
	if !b.blockType.named {
		return
	}
	m := c.blocks[b.blockType.keyword]
	if m == nil {
		m = map[string]*block{}
		c.blocks[b.blockType.keyword] = m
	}
	if first := m[b.name]; first != nil {
		c.fault(b, b.pos, "%s %q is defined twice, first at %v", b.blockType.keyword, b.name, first.pos)
		return
	}
	m[b.name] = b
	c.recordLine(b.blockType.keyword+" "+b.name, b, b.pos)
	for _, name := range slices.Sorted(maps.Keys(b.positions)) {
		c.recordLine(b.blockType.keyword+" "+b.name, b, b.positions[name])
	}
}

// recordLine keeps a recordLine that says something of a name, for those who ask why.
func (c *checker) recordLine(of string, b *block, at syntax.Pos) {
	f := b.source.Fault(at, "")
	f.Line = strings.TrimSpace(f.Line)
	c.result.lines[of] = append(c.result.lines[of], f)
}

// resolveReference notes that a setting, if it is given, names a block of some kind, and tells whether there is one.
func (c *checker) resolveReference(b *block, set, word string) bool {
	v := b.value(set)
	if !b.hasValue(set) {
		c.unresolved[word] = c.unresolved[word] || b.isPresent(set)
		return false
	}
	if c.referenced[word] == nil {
		c.referenced[word] = map[string]bool{}
	}
	c.referenced[word][v.text] = true
	if c.blocks[word][v.text] != nil {
		return true
	}
	c.unresolved[word] = true
	if c.complete {
		c.fault(b, v.pos, "no %s %q%s", word, v.text, suggest(v.text, slices.Sorted(maps.Keys(c.blocks[word]))))
	}
	return false
}

// reportUnused tells of names that nothing refers to. Where some name is mistyped it may be the one that was meant.
func (c *checker) reportUnused(word, by string) {
	if !c.complete || c.unresolved[word] {
		return
	}
	for name, b := range c.blocks[word] {
		if !c.referenced[word][name] {
			c.fault(b, b.pos, "%s %q is not used by any %s", word, name, by)
		}
	}
}

// knownClasses returns the classes that are known, and whether there are no others.
func (c *checker) knownClasses() (list []Class, closed bool) {
	if c.platform != nil {
		for _, k := range c.platform.Classes {
			k.NotIdempotent = k.NotIdempotent || k.Name == neverIdempotentClass || c.result.declaredNotIdempotent(k.Name)
			list = append(list, k)
		}
		return list, true
	}
	if len(c.blocks["class"]) > 0 {
		return c.result.classes, true
	}
	names := map[string]bool{neverIdempotentClass: true}
	for _, r := range c.result.Spec.Routes {
		for _, k := range r.Classes {
			names[k] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		list = append(list, Class{Name: n, NotIdempotent: n == neverIdempotentClass})
	}
	return list, false
}

// declaredNotIdempotent tells whether a class block says that a class must never run twice.
func (r *Result) declaredNotIdempotent(name string) bool {
	return slices.ContainsFunc(r.classes, func(k Class) bool { return k.Name == name && k.NotIdempotent })
}

// checkTable checks what routes, pools and policies are as a whole.
func (c *checker) checkTable() {
	classes, closed := c.knownClasses()
	c.result.classes, c.result.classesComplete = classes, closed
	if c.platform != nil {
		c.result.Spec.LoadWindow = c.platform.LoadWindow
	}
	t, err := route.Compile(&c.result.Spec, c.result.Classes())
	if err != nil {
		if a := (*route.AmbiguousRoutesError)(nil); errors.As(err, &a) {
			b := c.blocks["route"][a.Second.Name]
			c.fault(b, b.pos, "%v", err)
			return
		}
		for _, b := range c.blocks["route"] { // the checks above should have found it
			c.fault(b, b.pos, "%v", err)
			return
		}
		return
	}
	reached := t.Reachable()
	if closed {
		for i := range reached {
			reached[i] = reached[i][:len(classes)]
		}
	}
	for i, r := range t.Routes() {
		b := c.blocks["route"][r.Spec.Name]
		if !slices.Contains(reached[i], true) {
			c.fault(b, b.pos, "route %q can't be reached: closer matches take all of its calls", r.Spec.Name)
			continue
		}
		for k, class := range classes {
			if reached[i][k] && r.Pool != nil && r.Spec.Policy != "" {
				c.checkPolicyForClass(b, r.Spec.Policy, class)
			}
		}
	}
	first := c.blocks["route"][t.Routes()[0].Spec.Name]
	for _, h := range t.UnmatchedRegions(!closed) {
		c.note(first, first.pos, "no route takes %v; they are refused (%v)", h, h.Example)
	}
}

// Classes returns the names of the classes that the configuration can tell apart.
func (r *Result) Classes() (names []string) {
	for _, k := range r.classes {
		names = append(names, k.Name)
	}
	return names
}

// ClassesComplete tells whether there are no further classes.
func (r *Result) ClassesComplete() bool { return r.classesComplete }

// NotIdempotent tells for each of some classes whether it must never run twice.
func (r *Result) NotIdempotent(names []string) (once []bool) {
	for _, n := range names {
		once = append(once, n == neverIdempotentClass || r.declaredNotIdempotent(n))
	}
	return once
}

// Lines returns the lines that say something of a route, a pool or a policy, each as a fault with no message.
func (r *Result) Lines(word, name string) []syntax.Fault { return r.lines[word+" "+name] }

// Err returns the faults as an error, or nil.
func (r *Result) Err() error { return r.Faults.Err() }

// Diff tells what a configuration changes in behaviour against another.
func Diff(old, new *Result) ([]route.Change, error) {
	names := old.Classes()
	for _, n := range new.Classes() {
		if !slices.Contains(names, n) {
			names = append(names, n)
		}
	}
	var once []bool
	for i, a := range old.NotIdempotent(names) {
		once = append(once, a && new.NotIdempotent(names)[i])
	}
	o, err := route.Compile(&old.Spec, names)
	if err != nil {
		return nil, err
	}
	n, err := route.Compile(&new.Spec, names)
	if err != nil {
		return nil, err
	}
	return route.Diff(o, n, once, !old.classesComplete || !new.classesComplete), nil
}
